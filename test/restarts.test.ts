import test from 'ava';
import pg from 'pg';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {tagStatement} from '../src/standin/transaction_judge.js';
import {ProcessFleet} from './fixtures/process_fleet.js';

const SEED = 29;
const CALLERS = 16;
const RESTARTS = 4;
const MAX_PAUSE_MS = 500;
/** The VM in the zone of the first database, which owns the pools. */
const OWNER = 0;

/** Returns a whole number of a range. */
type Draw = (least: number, most: number) => number;

const createDraw = (seed: number): Draw => {
  const generator = xoroshiro128plus(seed);
  return (least, most) => uniformInt(generator, least, most);
};

const delay = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/** The rows of one transaction, and what its caller was told. */
interface Attempt {
  readonly ids: readonly string[];
  outcome: 'acknowledged' | 'not_run' | 'unknown';
}

const outcomeOf = (error: pg.DatabaseError): Attempt['outcome'] =>
  error.detail?.includes('outcome=not_run') ? 'not_run' : 'unknown';

/** A caller that holds transactions open over pauses, until it is stopped. */
class Caller {
  readonly attempts: Attempt[] = [];
  private client: pg.Client | undefined;
  private isStopped = false;

  private constructor(
    private readonly name: string,
    private readonly connect: () => Promise<pg.Client>,
    private readonly draw: Draw,
  ) {}

  static create(
    name: string,
    connect: () => Promise<pg.Client>,
    draw: Draw,
  ): Caller {
    return new Caller(name, connect, draw);
  }

  async run(): Promise<void> {
    for (let n = 1; !this.isStopped; n++) {
      this.client ??= await this.connect();
      if (n % 4 === 0) await this.runSingle(n);
      else await this.runTransaction(n);
    }
    await this.client?.end();
  }

  stop(): void {
    this.isStopped = true;
  }

  private async runTransaction(n: number): Promise<void> {
    const transaction = String(n);
    const ids = ['a', 'b'].map(part => `${this.name}-${n}-${part}`);
    await this.attempt(ids, transaction, [
      'BEGIN',
      ...ids.map(id => `INSERT INTO t (id) VALUES ('${id}')`),
      'COMMIT',
    ]);
  }

  private async runSingle(n: number): Promise<void> {
    const id = `${this.name}-${n}`;
    await this.attempt([id], undefined, [
      `INSERT INTO t (id) VALUES ('${id}')`,
    ]);
  }

  private async attempt(
    ids: readonly string[],
    transaction: string | undefined,
    statements: readonly string[],
  ): Promise<void> {
    const attempt: Attempt = {ids, outcome: 'unknown'};
    this.attempts.push(attempt);
    try {
      for (const sql of statements) {
        const tag = {caller: this.name, transaction};
        await this.client?.query(tagStatement(tag, sql));
        if (transaction) await delay(this.draw(0, MAX_PAUSE_MS));
      }
      attempt.outcome = 'acknowledged';
    } catch (error) {
      attempt.outcome = outcomeOf(error as pg.DatabaseError);
      await this.recover();
    }
  }

  /** Ends a lost transaction, or connects anew if that fails. */
  private async recover(): Promise<void> {
    try {
      await this.client?.query('ROLLBACK');
    } catch {
      this.client = undefined;
    }
  }
}

async function connect(fleet: ProcessFleet, proxy: number): Promise<pg.Client> {
  const client = fleet.createClient(proxy);
  await client.connect();
  return client;
}

// Guards against statements of one caller in the transaction of another, after
// the VM that holds the database's connections was started again (issue 29).
test.serial(
  'transactions stay apart while the owner of the pools is killed and started again',
  async t => {
    const draw = createDraw(SEED);
    const fleet = await ProcessFleet.create();
    try {
      const callers = Array.from({length: CALLERS}, (_, index) =>
        Caller.create(
          `c${index}`,
          () => connect(fleet, 1 + (index % 2)),
          createDraw(draw(1, 2 ** 30)),
        ),
      );
      const running = callers.map(caller => caller.run());
      for (let n = 0; n < RESTARTS; n++) {
        await delay(draw(1_200, 2_200));
        await fleet.restartProxy(OWNER, draw(0, 200));
      }
      await delay(1_000);
      for (const caller of callers) caller.stop();
      await Promise.all(running);

      const attempts = callers.flatMap(caller => caller.attempts);
      const committed = await fleet.committedIds('t');
      const told = (outcome: Attempt['outcome']): string[] =>
        attempts
          .filter(attempt => attempt.outcome === outcome)
          .flatMap(attempt => attempt.ids);
      const isPresent = (id: string): boolean => committed.has(id);
      const missing = told('acknowledged').filter(id => !isPresent(id));
      t.deepEqual(missing, [], 'acknowledged and lost');
      t.deepEqual(told('not_run').filter(isPresent), [], 'not run, yet there');
      const halves = attempts.filter(
        ({ids}) => ids.some(isPresent) && !ids.every(isPresent),
      );
      t.deepEqual(halves, [], 'transactions of which a part is there');
      const {tagged, wrong, violations} = await fleet.judgement();
      t.deepEqual(violations, []);
      t.is(wrong, 0);
      t.true(tagged > 200, `${tagged} statements were judged`);
      t.true(told('not_run').length > 0, 'no transaction was lost');
      t.log({
        tagged,
        acknowledged: told('acknowledged').length,
        notRun: told('not_run').length,
        unknown: told('unknown').length,
      });
      if (!t.passed) t.log(fleet.proxyLines);
    } finally {
      await fleet.close();
    }
  },
);
