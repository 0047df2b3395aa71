/**
 * Schedules checks for replicas that a change of primary has left paused. A
 * pause outlives the process that ordered it: that process may have ended, been
 * frozen or lost its lease, and a replica may not have received the order to
 * resume. So whoever holds the coordinator lease checks each service once, and
 * again whenever its replicas may have been paused since.
 */

/** Pause before the first repetition of a check that could not be finished. */
const MIN_REPEAT_MS = 400;
/** Longest pause before a repetition; the pause doubles each time. */
const MAX_REPEAT_MS = 5_000;
/**
 * How long after a check found nothing the signs of a stalled primary cause no
 * other one: it is due then. Such signs also come from overload, which a check adds to.
 */
const QUIET_AFTER_CHECK_MS = 5_000;

/** How a check of one service ended. */
export const ResumeCheckResult = {
  /** All replicas receive the log. */
  receiving: 'receiving',
  /** Replicas are paused, so that commits of the service get no answer. */
  paused: 'paused',
  /** Some replicas did not answer; those that did receive the log. */
  unanswered: 'unanswered',
} as const;
export type ResumeCheckResult =
  (typeof ResumeCheckResult)[keyof typeof ResumeCheckResult];

/** A check of one service that has been requested. */
export interface ResumeCheck {
  readonly service: string;
  readonly dueAtMs: number;
  /** Pause before the next repetition. */
  readonly repeatMs: number;
  /** Whether commits are known to get no answer. */
  readonly isUrgent: boolean;
}

/** The services to check. Times are of one steady clock. */
export class ResumeChecks {
  private readonly requested = new Map<string, ResumeCheck>();
  /** When a check last found that all replicas receive, by service. */
  private readonly receivingAtMs = new Map<string, number>();

  private constructor() {}

  static create(): ResumeChecks {
    return new ResumeChecks();
  }

  /** Number of services whose replicas may be paused. */
  get size(): number {
    return this.requested.size;
  }

  /** Requests a check because replicas of a service may have been paused. */
  request(service: string, nowMs: number): void {
    const repeatMs = MIN_REPEAT_MS;
    this.add({service, dueAtMs: nowMs, repeatMs, isUrgent: false});
  }

  /**
   * Requests a check ahead of others, because commits of a service get no
   * answer. Soon after a check that found nothing it is due later.
   */
  requestForStall(service: string, nowMs: number): void {
    const receivingAtMs = this.receivingAtMs.get(service) ?? -Infinity;
    const dueAtMs = Math.max(nowMs, receivingAtMs + QUIET_AFTER_CHECK_MS);
    const repeatMs = MIN_REPEAT_MS;
    this.add({service, dueAtMs, repeatMs, isUrgent: true});
  }

  /** Discards what is known, as another front may have acted since. */
  clear(): void {
    this.requested.clear();
    this.receivingAtMs.clear();
  }

  /**
   * Removes and returns at most `count` checks that are due, urgent ones first,
   * without those of services in `isBusy`.
   */
  take(
    nowMs: number,
    count: number,
    isBusy: (service: string) => boolean,
  ): readonly ResumeCheck[] {
    const taken = [...this.requested.values()]
      .filter(({service, dueAtMs}) => dueAtMs <= nowMs && !isBusy(service))
      .sort((a, b) => Number(b.isUrgent) - Number(a.isUrgent))
      .slice(0, count);
    for (const {service} of taken) this.requested.delete(service);
    return taken;
  }

  /** Records that all replicas of a service have confirmed that they receive. */
  recordReceiving(service: string, nowMs: number): void {
    this.requested.delete(service);
    this.receivingAtMs.set(service, nowMs);
  }

  /**
   * Records how a check that was taken has ended. It is repeated unless all
   * replicas receive; a request that came meanwhile stays.
   */
  record(check: ResumeCheck, result: ResumeCheckResult, nowMs: number): void {
    const {service} = check;
    if (result === ResumeCheckResult.receiving) {
      this.receivingAtMs.set(service, nowMs);
      return;
    }
    const isUrgent = result === ResumeCheckResult.paused;
    const pauseMs = isUrgent ? MIN_REPEAT_MS : check.repeatMs;
    const repeatMs = Math.min(MAX_REPEAT_MS, 2 * pauseMs);
    this.add({service, dueAtMs: nowMs + pauseMs, repeatMs, isUrgent});
  }

  private add(check: ResumeCheck): void {
    const known = this.requested.get(check.service);
    this.requested.set(check.service, {
      ...check,
      dueAtMs: Math.min(check.dueAtMs, known?.dueAtMs ?? Infinity),
      isUrgent: check.isUrgent || known?.isUrgent === true,
    });
  }
}
