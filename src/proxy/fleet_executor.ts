/**
 * Opens lanes on the VM that owns the service's connection pools. A lane that
 * provably did not run is opened again, on the current owner, until its
 * deadline.
 */
import {DatabaseConfig, ServiceConfig} from '../core/config.js';
import {Failure} from '../core/errors.js';
import {
  Executor,
  Lane,
  LaneBatch,
  LaneRequest,
  LaneSink,
} from '../core/lane.js';
import {Candidate, ownerOf, Place} from '../core/placement.js';
import {Position} from '../core/position.js';

export interface FleetExecutorOptions {
  readonly service: ServiceConfig;
  readonly localVm: string;
  /** The VMs that may own pools; a new array after each change. */
  readonly candidates: () => readonly Candidate[];
  readonly localExecutor: () => Executor;
  /** Opens lanes at another VM; undefined when there is no connection to it. */
  readonly remoteExecutor: (vm: string) => Executor | undefined;
  /** Called when a lane on another VM failed as unreachable. */
  readonly onUnreachable: (vm: string) => void;
}

const RETRY_DELAY_MS = 50;

/**
 * Returns the place near which a service's pools belong: that of its first
 * database that is not leaving (being removed from service).
 */
export function preferredPlaceOf(service: ServiceConfig): Place {
  const staying = service.databases.filter(entry => !entry.leaving);
  const [first]: DatabaseConfig[] =
    staying.length > 0 ? staying : service.databases;
  return {region: first.region, zone: first.zone};
}

/** Opens the lanes of one service at the VM that owns its connection pools. */
export class FleetExecutor implements Executor {
  /** The candidates from which `owner` was computed. */
  private ownerCandidates: readonly Candidate[] | undefined;
  private owner: string | undefined;

  private constructor(private readonly options: FleetExecutorOptions) {}

  static create(options: FleetExecutorOptions): FleetExecutor {
    return new FleetExecutor(options);
  }

  open(request: LaneRequest, batch: LaneBatch, sink: LaneSink): Lane {
    return RetryingLane.create(
      (attemptSink, budgetMs) =>
        this.openOnce(request, batch, attemptSink, budgetMs),
      request.budgetMs,
      sink,
    );
  }

  private openOnce(
    request: LaneRequest,
    batch: LaneBatch,
    sink: LaneSink,
    budgetMs: number,
  ): Lane {
    const {localVm, localExecutor, remoteExecutor} = this.options;
    const owner = this.currentOwner();
    const executor =
      owner === undefined || owner === localVm
        ? localExecutor()
        : remoteExecutor(owner);
    const timedRequest = {...request, budgetMs};
    return (executor ?? localExecutor()).open(
      timedRequest,
      {...batch, budgetMs},
      executor === undefined || owner === undefined || owner === localVm
        ? sink
        : this.reportingSink(owner, sink),
    );
  }

  /** Returns the owner, computed again only when the candidates change. */
  private currentOwner(): string | undefined {
    const {service, candidates} = this.options;
    const current = candidates();
    if (this.ownerCandidates !== current) {
      this.ownerCandidates = current;
      this.owner = ownerOf(
        service.name,
        preferredPlaceOf(service),
        current,
      )?.vm;
    }
    return this.owner;
  }

  /**
   * Wraps a sink so that `onUnreachable` is called if the lane fails because
   * the owner is unreachable.
   */
  private reportingSink(owner: string, sink: LaneSink): LaneSink {
    return {
      onFrame: (code, frame) => sink.onFrame(code, frame),
      onPosition: position => sink.onPosition(position),
      onChunkEnd: () => sink.onChunkEnd(),
      onDone: () => sink.onDone(),
      onFailure: reason => {
        if (reason.kind === 'backend_unreachable') {
          this.options.onUnreachable(owner);
        }
        sink.onFailure(reason);
      },
    };
  }
}

/**
 * Makes one attempt to open a lane, with the time that is left of its budget.
 */
type OpenAttempt = (sink: LaneSink, budgetMs: number) => Lane;

/**
 * A lane that is opened again when it fails with `backend_unreachable` before
 * any frame was relayed.
 */
class RetryingLane implements Lane, LaneSink {
  private lane: Lane | undefined;
  private timer: NodeJS.Timeout | undefined;
  private hasRelayed = false;
  private hasEnded = false;
  private attempts = 0;
  /** Number of the attempt that failed last; 0 while one is in progress. */
  private failedAttempt = 0;
  private readonly deadlineAtMs: number;

  private constructor(
    private readonly openAttempt: OpenAttempt,
    budgetMs: number,
    private readonly sink: LaneSink,
  ) {
    this.deadlineAtMs = Date.now() + budgetMs;
    this.start();
  }

  static create(
    openAttempt: OpenAttempt,
    budgetMs: number,
    sink: LaneSink,
  ): Lane {
    return new RetryingLane(openAttempt, budgetMs, sink);
  }

  send(batch: LaneBatch): void {
    this.lane?.send(batch);
  }

  cancel(): void {
    this.lane?.cancel();
  }

  abort(): void {
    this.hasEnded = true;
    clearTimeout(this.timer);
    this.lane?.abort();
  }

  pause(): void {
    this.lane?.pause();
  }

  resume(): void {
    this.lane?.resume();
  }

  onFrame(code: number, frame: Buffer): void {
    this.hasRelayed = true;
    this.sink.onFrame(code, frame);
  }

  onPosition(position: Position): void {
    this.sink.onPosition(position);
  }

  onChunkEnd(): void {
    this.sink.onChunkEnd();
  }

  onDone(): void {
    this.hasEnded = true;
    this.sink.onDone();
  }

  onFailure(reason: Failure): void {
    this.lane = undefined;
    this.failedAttempt = this.attempts;
    if (!this.canRetry(reason)) {
      this.hasEnded = true;
      return this.sink.onFailure(reason);
    }
    this.timer = setTimeout(() => this.start(), RETRY_DELAY_MS);
  }

  private start(): void {
    if (this.hasEnded) return;
    this.attempts++;
    const attempt = this.attempts;
    this.failedAttempt = 0;
    const lane = this.openAttempt(this, this.deadlineAtMs - Date.now());
    // An attempt that failed synchronously has ended: don't keep its lane.
    if (!this.hasEnded && this.failedAttempt !== attempt) this.lane = lane;
  }

  private canRetry(reason: Failure): boolean {
    return (
      reason.kind === 'backend_unreachable' &&
      !this.hasRelayed &&
      Date.now() + RETRY_DELAY_MS < this.deadlineAtMs
    );
  }
}
