/** Runs the failover state machine of one database group. */
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

export interface FailoverRunnerOptions {
  readonly service: string;
  readonly claimant: string;
  readonly databases: readonly string[];
  readonly prober: DatabaseProber;
  readonly log: Log;
  /** VMs that vote on whether a database is reachable, this VM included. */
  readonly observers: () => readonly string[];
  /**
   * Requests a VM's vote: whether it reaches a database on a new connection.
   * Undefined when the VM does not answer.
   */
  readonly requestVote: (
    vm: string,
    service: string,
    database: string,
  ) => Promise<boolean | undefined>;
}

const TICK_INTERVAL_MS = 50;
const CONTROL_TIMEOUT_MS = 500;

/**
 * Feeds probe results, votes and ticks to the failover state machine of one
 * group, and carries out its effects. Runs at the VM that owns the group's
 * connection pools.
 */
export class FailoverRunner {
  private state: FailoverState;
  private readonly subscriptions = new Subscription();
  private failoverStartMs = 0;
  private isClosed = false;

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
    this.subscriptions.add(
      interval(TICK_INTERVAL_MS).subscribe(() => this.tick()),
    );
  }

  static create(options: FailoverRunnerOptions): FailoverRunner {
    return new FailoverRunner(options);
  }

  /**
   * Sets the databases that are being removed from service and should not
   * become primary.
   */
  setLeaving(databases: readonly string[]): void {
    this.apply({type: 'leaving', databases});
  }

  /**
   * Starts to move the primary role away from a database that is being removed
   * from service.
   */
  startSwitchover(): void {
    this.apply({type: 'handOver', nowMs: Date.now()});
  }

  /** Starts to replace a primary that none of its replicas can follow. */
  replacePrimary(): void {
    this.apply({type: 'evict', nowMs: Date.now()});
  }

  dump(): object {
    return {phase: this.state.phase.name, term: this.state.term};
  }

  close(): void {
    this.isClosed = true;
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
    if (this.isClosed) return;
    const before = this.state.phase;
    const {state, effects} = stepFailover(this.state, event);
    this.state = state;
    if (state.phase.name !== before.name) this.logPhaseChange(before.name);
    effects.forEach(effect => void this.perform(effect));
  }

  private logPhaseChange(before: string): void {
    const {phase, term} = this.state;
    if (before === 'steady') this.failoverStartMs = Date.now();
    this.options.log('failover_phase', {
      service: this.options.service,
      phase: phase.name,
      term,
      elapsedMs: Date.now() - this.failoverStartMs,
    });
  }

  private async perform(effect: FailoverEffect): Promise<void> {
    switch (effect.type) {
      case 'askObservers':
        effect.observers.forEach(
          vm => void this.collectVote(vm, effect.database),
        );
        return;
      case 'raise':
        return this.raiseTerm(effect.database, effect.term);
      case 'promote':
        return this.promote(effect.database, effect.term);
      case 'follow':
        await this.options.prober
          .controlLink(effect.database)
          ?.follow(effect.term, effect.primary, CONTROL_TIMEOUT_MS);
    }
  }

  private async collectVote(vm: string, database: string): Promise<void> {
    const {service, requestVote} = this.options;
    const isReachable = await requestVote(vm, service, database);
    if (isReachable === undefined) return;
    this.apply({
      type: 'vote',
      observer: vm,
      reachable: isReachable,
      nowMs: Date.now(),
    });
  }

  private async raiseTerm(database: string, term: number): Promise<void> {
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
