import test from 'ava';
import pg from 'pg';
import {LocalFleet} from '../src/standin/local_fleet.js';
import {waitForNewPrimary} from './fixtures/failover.js';

const SERVICE = 'order-books-1';
const CUSTOMER = 'villacres';

/** Records the statements of callers and their answers, without times. */
class Transcript {
  readonly lines: string[] = [];

  private constructor(readonly fleet: LocalFleet) {}

  static create(fleet: LocalFleet): Transcript {
    return new Transcript(fleet);
  }

  async connect(
    name: string,
    proxy: number,
    extra: pg.ClientConfig = {},
  ): Promise<pg.Client> {
    const client = this.fleet.createClient(proxy, CUSTOMER, SERVICE, extra);
    const outcome = await client.connect().then(() => 'ready', describeError);
    this.lines.push(`${name} connects to vm-${proxy + 1}: ${outcome}`);
    return client;
  }

  async query(name: string, client: pg.Client, sql: string): Promise<void> {
    const answer = await client.query(sql).then(describeResult, describeError);
    const statement = sql.replace(/'[\w:/.-]+:[\w-]{22}'/, "'<token>'");
    this.lines.push(
      `${name}> ${statement}`,
      `${' '.repeat(name.length)}  ${answer}`,
    );
  }

  note(text: string): void {
    this.lines.push(`-- ${text}`);
  }
}

const describeResult = (result: pg.QueryResult): string =>
  `${result.command} ${result.rowCount ?? 0} ${JSON.stringify(result.rows)}`.replace(
    /"[\w-]+:\d+\/\d+:[\w-]{22}"/g,
    '"<token>"',
  );

function describeError(error: pg.DatabaseError): string {
  return `${error.severity ?? 'CLOSED'} ${error.code ?? ''} ${error.message} (${error.detail ?? ''})`;
}

const tokenOf = async (client: pg.Client): Promise<string> =>
  String(
    (await client.query('SHOW mustardpass.session')).rows[0][
      'mustardpass.session'
    ],
  );

async function record(
  script: (transcript: Transcript, fleet: LocalFleet) => Promise<void>,
): Promise<string> {
  const fleet = await LocalFleet.create({proxies: 2});
  const transcript = Transcript.create(fleet);
  try {
    await script(transcript, fleet);
    return transcript.lines.join('\n');
  } finally {
    await fleet.close();
  }
}

test.serial('golden: login, refusals and settings', async t => {
  const text = await record(async transcript => {
    const ana = await transcript.connect('ana', 0);
    await transcript.connect('eve', 0, {password: 'wrong'});
    await transcript.connect('eve', 0, {database: 'no-such'});
    await transcript.query('ana', ana, 'SHOW mustardpass.session');
    await transcript.query(
      'ana',
      ana,
      'SET mustardpass.max_staleness_ms = 500',
    );
    await transcript.query('ana', ana, 'SHOW mustardpass.max_staleness_ms');
    await transcript.query('ana', ana, 'SET mustardpass.max_staleness_ms = -5');
    await transcript.query('ana', ana, "SET mustardpass.session = 'forged'");
    await transcript.query('ana', ana, 'LISTEN news');
    await ana.end();
  });
  t.snapshot(text);
});

test.serial('golden: a session roams and reads its writes', async t => {
  const text = await record(async transcript => {
    const home = await transcript.connect('home', 0);
    await transcript.query(
      'home',
      home,
      "INSERT INTO t (id, v) VALUES ('a', '1')",
    );
    const away = await transcript.connect('away', 1);
    const token = await tokenOf(home);
    await transcript.query(
      'away',
      away,
      `SET mustardpass.session = '${token}'`,
    );
    await transcript.query('away', away, "SELECT v FROM t WHERE id = 'a'");
    const bare = await transcript.connect('bare', 1);
    await transcript.query('bare', bare, "SELECT v FROM t WHERE id = 'a'");
    await Promise.all([home.end(), away.end(), bare.end()]);
  });
  t.snapshot(text);
});

test.serial('golden: a transaction, its error and its end', async t => {
  const text = await record(async transcript => {
    const ana = await transcript.connect('ana', 1);
    for (const sql of [
      'BEGIN',
      "INSERT INTO t (id, v) VALUES ('a', '1')",
      'SELECT v FROM t',
      'COMMIT',
      'BEGIN',
      "INSERT INTO t (id, v) VALUES ('a', '2')",
      'SELECT v FROM t',
      'ROLLBACK',
      'BEGIN READ ONLY',
      'SELECT v FROM t',
      "INSERT INTO t (id, v) VALUES ('b', '2')",
      'ROLLBACK',
    ]) {
      await transcript.query('ana', ana, sql);
    }
    await ana.end();
  });
  t.snapshot(text);
});

test.serial(
  'golden: a primary dies in the middle of a transaction',
  async t => {
    const text = await record(async (transcript, fleet) => {
      const ana = await transcript.connect('ana', 0);
      await transcript.query(
        'ana',
        ana,
        "INSERT INTO t (id) VALUES ('before')",
      );
      await transcript.query('ana', ana, 'BEGIN');
      await transcript.query(
        'ana',
        ana,
        "INSERT INTO t (id) VALUES ('during')",
      );
      transcript.note('the primary is killed');
      fleet.group(SERVICE).primary.kill();
      await waitForNewPrimary(fleet.group(SERVICE));
      await transcript.query(
        'ana',
        ana,
        "INSERT INTO t (id) VALUES ('too late')",
      );
      await transcript.query('ana', ana, 'ROLLBACK');
      await transcript.query('ana', ana, "INSERT INTO t (id) VALUES ('after')");
      await transcript.query('ana', ana, 'SELECT id FROM t');
      await ana.end();
    });
    t.snapshot(text);
  },
);

test.serial('golden: a key is withdrawn, a proxy drains', async t => {
  const text = await record(async (transcript, fleet) => {
    const ana = await transcript.connect('ana', 0);
    await transcript.query('ana', ana, 'SELECT 1 AS n');
    const ended = new Promise<string>(resolve =>
      ana.on('error', error =>
        resolve(describeError(error as pg.DatabaseError)),
      ),
    );
    transcript.note('vm-1 drains');
    const drained = fleet.proxies[0].drain();
    transcript.note(`ana is told: ${await ended}`);
    await drained;
    await fleet.proxies[0].close();
    const beto = await transcript.connect('beto', 1);
    const stopped = new Promise<string>(resolve =>
      beto.on('error', error =>
        resolve(describeError(error as pg.DatabaseError)),
      ),
    );
    transcript.note('the key is withdrawn');
    await fleet.applyActions(1, [
      {do: 'withdraw_key', customer: CUSTOMER, id: 'first'},
    ]);
    transcript.note(`beto is told: ${await stopped}`);
    await transcript.connect('beto', 1);
  });
  t.snapshot(text);
});
