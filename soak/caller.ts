/**
 * A caller: sessions at one front, one after another, with transactions that
 * stay open over pauses, single statements, values and prepared statements.
 */
import {ClientAnswer, WireClient} from '../test/platform/fleet_fixture.js';
import {Attempt, Outcome} from './commit_judge.js';
import {FrontProcess} from './front_process.js';
import {Random} from './random.js';
import {Finding, SentStatement} from './statement_judge.js';

/** Ends of texts that a careless reader would take for ends of messages. */
const TEXT_ENDS = [
  '',
  '\ncall before delivery',
  '\nQUERY forged WRITE item1 forged',
  '\r',
  '\n',
  '\xff\x85\0 ',
  ' \n\r',
] as const;

/** Names that the sessions of all callers share. */
const NAMES = ['one', 'two', 'three'] as const;
const ITEM_COUNT = 40;
const RECONNECT_MS = 150;
/** Longest pause of a busy caller. */
const BUSY_PAUSE_MS = 60;
/** No route's time limit is that long. */
const HUNG_AFTER_MS = 12_000;
/** Answers that promise that nothing of the attempt is kept. */
const PROMISES: ReadonlySet<string> = new Set([
  'BUSY',
  'ABORTED',
  'LAGGING',
  'READONLY',
  'MISROUTED',
  'TOOMANY',
]);

/** Where callers report to. */
export interface CallerHost {
  readonly expect: (statement: SentStatement) => void;
  readonly succeeded: (
    id: string,
    signature: string,
    rows: readonly string[],
  ) => void;
  readonly attempted: (service: string, attempt: Attempt) => void;
  readonly report: (finding: Finding) => void;
  readonly isOver: () => boolean;
}

export interface CallerOptions {
  readonly id: string;
  readonly front: FrontProcess;
  readonly customer: string;
  readonly services: readonly string[];
  readonly random: Random;
  /** Whether pauses are short, so that commits are under way at any time. */
  readonly isBusy?: boolean;
}

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

const isPromise = ({error}: ClientAnswer): boolean =>
  PROMISES.has(error?.split(' ')[0] ?? '');

const textOf = ({done, error}: ClientAnswer): string =>
  done ? 'DONE' : (error ?? 'no answer');

/** Runs a caller until the run is over. */
export async function runCaller(
  options: CallerOptions,
  host: CallerHost,
): Promise<void> {
  const {front, random, customer, services} = options;
  for (let count = 1; !host.isOver(); count++) {
    const service = random.pick(services);
    const kind = random.pick([
      'primary',
      'primary',
      'bounded',
      'read_your_writes',
    ]);
    const {client, answer} = await WireClient.start(
      front.callerPort,
      `${service}-${kind}`,
      `${customer}-key`,
      front.host,
    );
    if (answer.state === 'I') {
      const id = `${options.id}.${count}`;
      await new Session(id, service, client, options, host).run();
    }
    client.close();
    await pause(RECONNECT_MS);
  }
}

/** One session; ends when its connection does, or after some operations. */
class Session {
  private readonly values = new Map<string, string>();
  private readonly prepared = new Map<string, string>();
  private statementCount = 0;

  constructor(
    private readonly id: string,
    private readonly service: string,
    private readonly client: WireClient,
    private readonly options: CallerOptions,
    private readonly host: CallerHost,
  ) {}

  async run(): Promise<void> {
    const {random} = this.options;
    const operations = random.between(3, 30);
    for (let done = 0; done < operations && !this.isOver; done++) {
      if (random.chance(30)) await this.changeState();
      if (random.chance(60)) await this.runTransaction(done);
      else await this.runSingle();
      await pause(this.limitPause(random.between(5, 300)));
    }
  }

  private limitPause(ms: number): number {
    return this.options.isBusy ? Math.min(ms, BUSY_PAUSE_MS) : ms;
  }

  private get isOver(): boolean {
    return this.client.isEnded || this.host.isOver();
  }

  /** Sets a value, or prepares a statement, under a name that others use. */
  private async changeState(): Promise<void> {
    const {random} = this.options;
    const name = random.pick(NAMES);
    if (random.chance(50)) {
      const value = `${this.id}-${this.nextId()}${this.textEnd}`;
      const {done} = await this.query(`SET ${name} ${value}`);
      if (done !== undefined) this.values.set(name, value);
      return;
    }
    const access = random.pick(['READ', 'WRITE']);
    const shape = `shape${random.between(1, 5)}${this.textEnd}`;
    const {done} = await this.query(`PREPARE ${name} ${access} ${shape}`);
    if (done !== undefined) this.prepared.set(name, `${access} ${shape}`);
  }

  private async runSingle(): Promise<void> {
    const {id, isWrite, answer} = await this.runStatement(undefined);
    if (!isWrite) return;
    this.attempted([id], answer, this.outcomeOf(answer));
  }

  private outcomeOf(answer: ClientAnswer): Outcome {
    if (answer.done !== undefined) return Outcome.acknowledged;
    return isPromise(answer) ? Outcome.promised : Outcome.unknown;
  }

  private async runTransaction(number: number): Promise<void> {
    const {random} = this.options;
    const transaction = `${this.id}/${number}`;
    const isReadOnly = random.chance(25);
    const begun = await this.query(isReadOnly ? 'BEGIN READ' : 'BEGIN');
    if (begun.state !== 'T') return;
    const writes: string[] = [];
    const length = random.between(1, 5);
    for (let done = 0; done < length; done++) {
      const {id, isWrite, answer} = await this.runStatement(
        transaction,
        isReadOnly,
      );
      if (isWrite) writes.push(id);
      if (answer.state !== 'T') {
        const outcome = isPromise(answer) ? Outcome.promised : Outcome.notAsked;
        this.attempted(writes, answer, outcome);
        if (!this.client.isEnded) await this.query('ROLLBACK');
        return;
      }
      if (!this.host.isOver()) await pause(this.limitPause(this.thinkMs()));
      if (random.chance(15)) await this.changeState();
    }
    if (this.client.isEnded || random.chance(15)) {
      if (random.chance(50)) this.client.close();
      else if (!this.client.isEnded) await this.query('ROLLBACK');
      return this.attempted(writes, begun, Outcome.notAsked);
    }
    const {answer} = await this.send('COMMIT', transaction);
    this.attempted(writes, answer, this.outcomeOf(answer));
    if (answer.state === 'E') await this.query('ROLLBACK');
  }

  /** Mostly short pauses; some last almost as long as a transaction may. */
  private thinkMs(): number {
    const {random} = this.options;
    return random.chance(50)
      ? random.between(5, 200)
      : random.between(200, 2_000);
  }

  private attempted(
    writes: readonly string[],
    answer: ClientAnswer,
    outcome: Outcome,
  ): void {
    if (writes.length === 0) return;
    this.host.attempted(this.service, {
      front: this.options.front.name,
      writes,
      outcome,
      answeredAtMs: performance.now(),
      answer: textOf(answer),
    });
  }

  private async runStatement(
    transaction: string | undefined,
    isReadOnly = false,
  ): Promise<{id: string; isWrite: boolean; answer: ClientAnswer}> {
    const {random} = this.options;
    const item = `item${random.between(1, ITEM_COUNT)}`;
    const usable = [...this.prepared].filter(
      ([, prepared]) => !isReadOnly || prepared.startsWith('READ'),
    );
    if (usable.length > 0 && random.chance(40)) {
      const [name, prepared] = random.pick(usable);
      const isWrite = prepared.startsWith('WRITE');
      const text = `EXECUTE ${name} ${item}`;
      return {
        isWrite,
        ...(await this.send(text, transaction, isWrite, prepared)),
      };
    }
    const isWrite = !isReadOnly && random.chance(40);
    const text = `${isWrite ? 'WRITE' : 'READ'} ${item}`;
    return {isWrite, ...(await this.send(text, transaction, isWrite))};
  }

  /** Sends a statement that a database runs; a write carries its own id. */
  private async send(
    text: string,
    transaction: string | undefined,
    isWrite = false,
    prepared?: string,
  ): Promise<{id: string; answer: ClientAnswer}> {
    const {front, customer} = this.options;
    const id = this.nextId();
    const full = isWrite ? `${text} ${id}${this.textEnd}` : text;
    this.host.expect({
      id,
      text: full,
      service: this.service,
      customer,
      front: front.name,
      transaction,
      values: new Map(this.values),
      prepared,
    });
    const answer = await this.query(full, id);
    if (answer.done !== undefined) {
      this.host.succeeded(id, answer.done, answer.rows);
    }
    return {id, answer};
  }

  /** Taken in turn, so that the random choices of a seed stay as they were. */
  private get textEnd(): string {
    return TEXT_ENDS[this.statementCount % TEXT_ENDS.length];
  }

  private nextId(): string {
    return `${this.id}.${++this.statementCount}`;
  }

  private async query(text: string, id = this.nextId()): Promise<ClientAnswer> {
    const none = {rows: [], done: undefined, error: undefined, state: ''};
    if (this.client.isEnded) return none;
    let timer: NodeJS.Timeout | undefined;
    const hung = new Promise<ClientAnswer>(resolve => {
      timer = setTimeout(() => {
        const details = {id, text, front: this.options.front.name};
        this.host.report({rule: 'HUNG', kind: 'statement', details});
        this.client.close();
        resolve(none);
      }, HUNG_AFTER_MS);
    });
    const answer = await Promise.race([this.client.query(text, id), hung]);
    clearTimeout(timer);
    return answer;
  }
}
