/** Fixture: callers that write without a break and record what succeeded. */
import {openSession, RunningFront, WireClient} from './fleet_fixture.js';
import {CommittedChange, StandinGroup} from './standin_database.js';

const ROUTES = ['primary', 'bounded', 'read_your_writes'] as const;
const STATEMENT_PAUSE_MS = 30;

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

/** Returns the writes that a log lacks. */
function missingIn(
  log: readonly CommittedChange[],
  written: Iterable<string>,
): string[] {
  const held = new Set(log.map(({data}) => data));
  return [...written].filter(data => !held.has(data));
}

/**
 * For each front, a caller that writes and one that writes in transactions on
 * every route, and one that reads. Each write has data of its own, and none is
 * sent twice.
 */
export class BusyCallers {
  /** Data of the writes for which a caller got a success. */
  readonly succeeded = new Set<string>();
  /** When the newest of these was sent, by `performance.now()`. */
  lastSuccessSentMs = -Infinity;
  private readonly lostAtPromotion = new Set<string>();
  private readonly sessions = new Set<WireClient>();
  private readonly callers: Array<Promise<void>> = [];
  private writeCount = 0;
  private hasEnded = false;

  private constructor(private readonly group: StandinGroup) {
    let {term} = group;
    const {onRoleChange} = group;
    group.onRoleChange = () => {
      if (group.term > term) this.checkPromoted();
      term = group.term;
      onRoleChange();
    };
  }

  static start(
    group: StandinGroup,
    fronts: readonly RunningFront[],
  ): BusyCallers {
    const callers = new BusyCallers(group);
    for (const front of fronts) {
      for (const route of ROUTES) {
        for (const run of [callers.write, callers.writeTwice])
          callers.callers.push(callers.repeat(front, route, run));
      }
      callers.callers.push(callers.repeat(front, 'bounded', callers.read));
    }
    return callers;
  }

  /** Writes with a success that a promoted database or the last one lacks. */
  get lost(): string[] {
    const log = this.group.primary?.log ?? [];
    const lost = [...this.lostAtPromotion, ...missingIn(log, this.succeeded)];
    return [...new Set(lost)];
  }

  async stop(): Promise<void> {
    this.hasEnded = true;
    for (const session of this.sessions) session.close();
    await Promise.all(this.callers);
  }

  private checkPromoted(): void {
    const log = this.group.primary?.log ?? [];
    for (const data of missingIn(log, this.succeeded))
      this.lostAtPromotion.add(data);
  }

  private async repeat(
    front: RunningFront,
    route: string,
    run: (session: WireClient) => Promise<void>,
  ): Promise<void> {
    while (!this.hasEnded) {
      let session: WireClient | undefined;
      try {
        session = await openSession(front, route, 'ana-key');
        this.sessions.add(session);
        while (!this.hasEnded && !session.isEnded) {
          await run.call(this, session);
          await pause(STATEMENT_PAUSE_MS);
        }
      } catch {
        // Refused, or closed by the front: the caller connects again.
        await pause(STATEMENT_PAUSE_MS);
      }
      session?.close();
      if (session) this.sessions.delete(session);
    }
  }

  private async read(session: WireClient): Promise<void> {
    await session.query('READ k');
  }

  private async write(session: WireClient): Promise<void> {
    const data = `w${++this.writeCount}`;
    const sentMs = performance.now();
    const {done} = await session.query(`WRITE k ${data}`);
    if (done !== undefined) this.record([data], sentMs);
  }

  private async writeTwice(session: WireClient): Promise<void> {
    const sentMs = performance.now();
    const written = [`w${++this.writeCount}`, `w${++this.writeCount}`];
    const begun = await session.query('BEGIN');
    if (begun.state !== 'T') return;
    for (const data of written) {
      const {state} = await session.query(`WRITE k ${data}`);
      if (state !== 'T') return void (await this.leave(session, state));
    }
    const {done, state} = await session.query('COMMIT');
    if (done !== undefined) this.record(written, sentMs);
    await this.leave(session, state);
  }

  /** Ends a transaction that is still open. */
  private async leave(session: WireClient, state: string): Promise<void> {
    if (state === 'T' || state === 'E') await session.query('ROLLBACK');
  }

  private record(written: readonly string[], sentMs: number): void {
    for (const data of written) this.succeeded.add(data);
    this.lastSuccessSentMs = Math.max(this.lastSuccessSentMs, sentMs);
  }
}
