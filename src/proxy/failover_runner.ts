/** Carries out the failover decisions of one group. */
import {Subscription, interval} from 'rxjs';
import {
  createFailoverState,
  DEFAULT_FAILOVER_TIMEOUTS,
  FailoverEffect,
  FailoverEvent,
  FailoverState,
} from '../core/failover_state.js';
import {stepFailover} from '../core/failover.js';
import {Log} from './log.js';
import {ProbeResult, DatabaseProber} from './database_prober.js';

/** What the runner needs from the VM it runs on. */
export interface FailoverRunnerOptions {
  readonly service: string;
  readonly claimant: string;
  readonly databases: readonly string[];
  readonly prober: DatabaseProber;
  readonly log: Log;
  /** VMs to ask, this one included. */
  readonly observers: () => readonly string[];
  /** Asks a VM whether it reaches a database on a new connection. */
  readonly requestVote: (
    vm: string,
    service: string,
    database: string,
  ) => Promise<boolean | undefined>;
}

const TICK_MS = 50;
const CONTROL_TIMEOUT_MS = 500;

/** One group's failover at the VM that owns its pools. */
export class FailoverRunner {
  private state: FailoverState;
  private readonly subscriptions = new Subscription();
  private suspectedAtMs = 0;

  private constructor(private readonly options: FailoverRunnerOptions) {
    this.state = createFailoverState({
      claimant: options.claimant,
      databases: options.databases,
      times: DEFAULT_FAILOVER_TIMEOUTS,
      nowMs: Date.now(),
    });
    this.subscriptions.add(
      options.prober.results$.subscribe(result => this.onProbe(result)),
    );
    this.subscriptions.add(interval(TICK_MS).subscribe(() => this.tick()));
  }

  static create(options: FailoverRunnerOptions): FailoverRunner {
    return new FailoverRunner(options);
  }

  /** Names the databases that should not become primary. */
  setLeaving(databases: readonly string[]): void {
    this.apply({type: 'leaving', databases});
  }

  /** Moves the primary away from a leaving database. */
  startSwitchover(): void {
    this.apply({type: 'handOver', nowMs: Date.now()});
  }

  /** Replaces a primary that none of its replicas can follow. */
  replacePrimary(): void {
    this.apply({type: 'evict', nowMs: Date.now()});
  }

  dump(): object {
    return {phase: this.state.phase.name, term: this.state.term};
  }

  close(): void {
    this.subscriptions.unsubscribe();
  }

  private onProbe(result: ProbeResult): void {
    if (!result.status) return;
    this.apply({type: 'status', status: result.status, nowMs: Date.now()});
  }

  private tick(): void {
    const observers = this.options.observers();
    this.apply({type: 'tick', observers, nowMs: Date.now()});
  }

  private apply(event: FailoverEvent): void {
    const before = this.state.phase;
    const {state, effects} = stepFailover(this.state, event);
    this.state = state;
    if (state.phase.name !== before.name) this.report(before.name);
    effects.forEach(effect => void this.perform(effect));
  }

  private report(before: string): void {
    const {phase, term} = this.state;
    if (before === 'steady') this.suspectedAtMs = Date.now();
    this.options.log('failover_phase', {
      service: this.options.service,
      phase: phase.name,
      term,
      elapsedMs: Date.now() - this.suspectedAtMs,
    });
  }

  private async perform(effect: FailoverEffect): Promise<void> {
    switch (effect.type) {
      case 'askObservers':
        effect.observers.forEach(vm => void this.ask(vm, effect.database));
        return;
      case 'raise':
        return this.raise(effect.database, effect.term);
      case 'promote':
        return this.promote(effect.database, effect.term);
      case 'follow':
        await this.options.prober
          .controlLink(effect.database)
          ?.follow(effect.term, effect.primary, CONTROL_TIMEOUT_MS);
    }
  }

  private async ask(vm: string, database: string): Promise<void> {
    const {service, requestVote: askObserver} = this.options;
    const reachable = await askObserver(vm, service, database);
    if (reachable === undefined) return;
    this.apply({type: 'vote', observer: vm, reachable, nowMs: Date.now()});
  }

  private async raise(database: string, term: number): Promise<void> {
    const link = this.options.prober.controlLink(database);
    const {claimant} = this.options;
    const answer = await link?.raise(term, claimant, CONTROL_TIMEOUT_MS);
    if (!answer?.isOk() || !answer.value.status) return;
    const {granted, status} = answer.value;
    this.apply({
      type: 'raised',
      database,
      term,
      granted,
      status,
      nowMs: Date.now(),
    });
  }

  private async promote(database: string, term: number): Promise<void> {
    const link = this.options.prober.controlLink(database);
    const {claimant} = this.options;
    const answer = await link?.promote(term, claimant, CONTROL_TIMEOUT_MS);
    if (!answer?.isOk()) return;
    const {granted} = answer.value;
    this.apply({type: 'promoted', term, granted, nowMs: Date.now()});
  }
}
