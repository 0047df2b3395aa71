/**
 * Ejects databases from reads by what they answer, not by health checks. A
 * database is ejected if at least half of 10 or more statements within a second
 * failed on it, and returns after a single read on it has succeeded. Mutable,
 * without a clock.
 */

/** Statements of the last second on one database. */
export interface AnswerShare {
  readonly failed: number;
  readonly answers: number;
}

/** A database of a service, in the view of one front. */
export interface Peer {
  readonly id: string;
  readonly isLeader: boolean;
  /** Whether it may serve reads, apart from an ejection. */
  readonly isUsable: boolean;
  readonly share: AnswerShare;
}

/** A change of a database's state, for the log. */
export interface EjectionChange {
  readonly kind: 'ejected' | 'readmitted';
  readonly database: string;
  /** Length of the ejection, or time since it began. */
  readonly ms: number;
}

const MIN_ANSWERS = 10;
const MIN_FAILED_SHARE = 0.5;
const FIRST_EJECTION_MS = 1_000;
const MAX_EJECTION_MS = 8_000;
/**
 * Time without an ejection after which the next one is short again; a database
 * that fails by turns stays out for longer each time.
 */
const RECOVERED_AFTER_MS = 16_000;
/** Time after which an unanswered probe is given up. */
const PROBE_TIMEOUT_MS = 2_000;

interface Ejection {
  readonly lengthMs: number;
  readonly beganAtMs: number;
  readonly untilMs: number;
  /** When the last probe was sent; undefined if none is unanswered. */
  probedAtMs: number | undefined;
  /** When the database was readmitted; undefined while it is ejected. */
  readmittedAtMs: number | undefined;
}

export const failsMostly = ({failed, answers}: AnswerShare): boolean =>
  answers >= MIN_ANSWERS && failed >= answers * MIN_FAILED_SHARE;

export class OutlierDetector {
  private readonly ejections = new Map<string, Ejection>();

  private constructor() {}

  static create(): OutlierDetector {
    return new OutlierDetector();
  }

  isEjected(database: string): boolean {
    return this.current(database) !== undefined;
  }

  get ejectedCount(): number {
    return [...this.ejections.keys()].filter(id => this.isEjected(id)).length;
  }

  /** Whether an ejected database may get a single read as a probe now. */
  isProbeDue(database: string, nowMs: number): boolean {
    const ejection = this.current(database);
    if (!ejection || nowMs < ejection.untilMs) return false;
    const {probedAtMs} = ejection;
    return probedAtMs === undefined || nowMs - probedAtMs >= PROBE_TIMEOUT_MS;
  }

  beginProbe(database: string, nowMs: number): void {
    const ejection = this.current(database);
    if (ejection) ejection.probedAtMs = nowMs;
  }

  /**
   * Handles the answer to a probe; `isWell` is undefined if it says nothing
   * about the database.
   */
  endProbe(
    database: string,
    isWell: boolean | undefined,
    nowMs: number,
  ): EjectionChange | undefined {
    const ejection = this.current(database);
    if (!ejection || ejection.probedAtMs === undefined) return undefined;
    ejection.probedAtMs = undefined;
    if (isWell === undefined) return undefined;
    if (!isWell) return this.eject(database, nowMs);
    ejection.readmittedAtMs = nowMs;
    const ms = nowMs - ejection.beganAtMs;
    return {kind: 'readmitted', database, ms};
  }

  /**
   * Ejects a database that fails, unless too few of its service would remain.
   * `peers` are all databases of the service, the suspect included.
   */
  judge(
    suspect: string,
    peers: readonly Peer[],
    nowMs: number,
  ): EjectionChange | undefined {
    const peer = peers.find(({id}) => id === suspect);
    if (!peer || this.isEjected(suspect) || !failsMostly(peer.share))
      return undefined;
    const hasReadmission = this.ejections.get(suspect)?.readmittedAtMs;
    // The failures of before the readmission are still in the window.
    if (hasReadmission !== undefined && nowMs - hasReadmission < 1_000)
      return undefined;
    // Statements that fail on all databases fail by their own fault.
    const hasAlternative = peers.some(
      ({id, isUsable, share}) =>
        id !== suspect &&
        isUsable &&
        !this.isEjected(id) &&
        !failsMostly(share),
    );
    if (!hasAlternative) return undefined;
    if (!peer.isLeader && !this.mayEjectReplica(peers)) return undefined;
    return this.eject(suspect, nowMs);
  }

  /** Whether less than half of the replicas, rounded up, are ejected. */
  private mayEjectReplica(peers: readonly Peer[]): boolean {
    const replicas = peers.filter(({isLeader}) => !isLeader);
    const ejected = replicas.filter(({id}) => this.isEjected(id)).length;
    return ejected < Math.ceil(replicas.length / 2);
  }

  private current(database: string): Ejection | undefined {
    const ejection = this.ejections.get(database);
    return ejection?.readmittedAtMs === undefined ? ejection : undefined;
  }

  private eject(database: string, nowMs: number): EjectionChange {
    const last = this.ejections.get(database);
    const isRepeated =
      last !== undefined &&
      (last.readmittedAtMs === undefined ||
        nowMs - last.readmittedAtMs < RECOVERED_AFTER_MS);
    const lengthMs = isRepeated
      ? Math.min(MAX_EJECTION_MS, last.lengthMs * 2)
      : FIRST_EJECTION_MS;
    const isContinued = last && last.readmittedAtMs === undefined;
    this.ejections.set(database, {
      lengthMs,
      beganAtMs: isContinued ? last.beganAtMs : nowMs,
      untilMs: nowMs + lengthMs,
      probedAtMs: undefined,
      readmittedAtMs: undefined,
    });
    return {kind: 'ejected', database, ms: lengthMs};
  }
}
