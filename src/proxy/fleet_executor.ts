/**
 * Opens lanes at the VM that owns the service's pools. A lane that provably
 * did not run is tried again, at the present owner, until its deadline.
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

/** What the executor needs. */
export interface FleetExecutorOptions {
  readonly service: ServiceConfig;
  readonly localVm: string;
  readonly candidates: () => readonly Candidate[];
  readonly localExecutor: () => Executor;
  readonly remoteExecutor: (vm: string) => Executor | undefined;
  readonly onUnreachable: (vm: string) => void;
}

const RETRY_DELAY_MS = 50;

/** Where a service's pools belong: the place of its first database. */
export function preferredPlaceOf(service: ServiceConfig): Place {
  const staying = service.databases.filter(entry => !entry.leaving);
  const [home]: DatabaseConfig[] =
    staying.length > 0 ? staying : service.databases;
  return {region: home.region, zone: home.zone};
}

/** Executor of one service. */
export class FleetExecutor implements Executor {
  private ownerAmong: readonly Candidate[] | undefined;
  private owner: string | undefined;

  private constructor(private readonly options: FleetExecutorOptions) {}

  static create(options: FleetExecutorOptions): FleetExecutor {
    return new FleetExecutor(options);
  }

  open(request: LaneRequest, batch: LaneBatch, sink: LaneSink): Lane {
    return RetryingLane.create(
      (sinkOfTry, budgetMs) =>
        this.openOnce(request, batch, sinkOfTry, budgetMs),
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
    const {
      localVm: self,
      localExecutor: local,
      remoteExecutor: remote,
    } = this.options;
    const owner = this.currentOwner();
    const executor =
      owner === undefined || owner === self ? local() : remote(owner);
    const timed = {...request, budgetMs};
    return (executor ?? local()).open(
      timed,
      {...batch, budgetMs},
      executor === undefined || owner === undefined || owner === self
        ? sink
        : this.watchFailure(owner, sink),
    );
  }

  /** The owner, worked out again when the candidates change. */
  private currentOwner(): string | undefined {
    const {service, candidates} = this.options;
    const among = candidates();
    if (this.ownerAmong !== among) {
      this.ownerAmong = among;
      this.owner = ownerOf(service.name, preferredPlaceOf(service), among)?.vm;
    }
    return this.owner;
  }

  private watchFailure(owner: string, sink: LaneSink): LaneSink {
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

type OpenTry = (sink: LaneSink, budgetMs: number) => Lane;

/** A lane that is opened again while nothing of it has run. */
class RetryingLane implements Lane, LaneSink {
  private lane: Lane | undefined;
  private timer: NodeJS.Timeout | undefined;
  private relayed = false;
  private over = false;
  private attempts = 0;
  private failedAttempt = 0;
  private readonly deadlineAtMs: number;

  private constructor(
    private readonly openTry: OpenTry,
    budgetMs: number,
    private readonly sink: LaneSink,
  ) {
    this.deadlineAtMs = Date.now() + budgetMs;
    this.start();
  }

  static create(openTry: OpenTry, budgetMs: number, sink: LaneSink): Lane {
    return new RetryingLane(openTry, budgetMs, sink);
  }

  send(batch: LaneBatch): void {
    this.lane?.send(batch);
  }

  cancel(): void {
    this.lane?.cancel();
  }

  abort(): void {
    this.over = true;
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
    this.relayed = true;
    this.sink.onFrame(code, frame);
  }

  onPosition(position: Position): void {
    this.sink.onPosition(position);
  }

  onChunkEnd(): void {
    this.sink.onChunkEnd();
  }

  onDone(): void {
    this.over = true;
    this.sink.onDone();
  }

  onFailure(reason: Failure): void {
    this.lane = undefined;
    this.failedAttempt = this.attempts;
    if (!this.mayRetry(reason)) {
      this.over = true;
      return this.sink.onFailure(reason);
    }
    this.timer = setTimeout(() => this.start(), RETRY_DELAY_MS);
  }

  private start(): void {
    if (this.over) return;
    this.attempts++;
    const attempt = this.attempts;
    this.failedAttempt = 0;
    const lane = this.openTry(this, this.deadlineAtMs - Date.now());
    // A lane that failed while it was being opened is not kept.
    if (!this.over && this.failedAttempt !== attempt) this.lane = lane;
  }

  private mayRetry(reason: Failure): boolean {
    return (
      reason.kind === 'backend_unreachable' &&
      !this.relayed &&
      Date.now() + RETRY_DELAY_MS < this.deadlineAtMs
    );
  }
}
