/** One run: callers and faults that a seed determines, and its verdict. */
import {appendFileSync, mkdirSync} from 'node:fs';
import {join} from 'node:path';
import {runCaller} from './caller.js';
import {Attempt, judgeCommits, Outcome} from './commit_judge.js';
import {judgeEvacuations} from './evacuation_judge.js';
import {drawSchedule, FaultSet} from './fault_schedule.js';
import {applyFaults} from './faults.js';
import {Members} from './members.js';
import {PROMOTION_MS} from './primary_faults.js';
import {PromotionJudge} from './promotion_judge.js';
import {Random} from './random.js';
import {ReplicationDelays} from './replication_delays.js';
import {Finding, StatementJudge} from './statement_judge.js';
import {StandinReplication} from '../test/platform/standin_replication.js';
import {CUSTOMERS, SERVICES, World} from './world.js';

export interface SoakOptions {
  readonly seed: number;
  readonly minutes: number;
  readonly fronts: number;
  readonly callersPerFront: number;
  /** Set of faults; `single` by default. */
  readonly faults?: FaultSet;
  /** Kinds of faults; all of the set by default. */
  readonly kinds?: readonly string[];
  /** Entry point of a front. */
  readonly program: string;
  /** Folder for the logs of the processes and of the run. */
  readonly folder: string;
}

/** What a run came to. */
export interface SoakResult {
  readonly seed: number;
  readonly faults: number;
  /** Statements that callers sent to run on a database. */
  readonly statements: number;
  readonly succeeded: number;
  /** Attempts to write, by outcome. */
  readonly attempts: Readonly<Record<string, number>>;
  /** Findings by rule and kind. */
  readonly findings: Readonly<Record<string, number>>;
}

/** Time for what is under way at the end to reach the databases. */
const SETTLE_MS = 3_000;
/**
 * Time after the last fault in which each service must acknowledge writes
 * again: the users' bound for recovery.
 */
const RECOVERY_LIMIT_MS = 12_000;
const PROGRESS_INTERVAL_MS = 1_000;
const CALLER_SEED_FACTOR = 10_000;

const pause = (ms: number): Promise<void> =>
  new Promise(resolve => setTimeout(resolve, ms));

function count(counts: Record<string, number>, name: string): void {
  counts[name] = (counts[name] ?? 0) + 1;
}

/** Counts, findings and logs of one run. */
class Recorder {
  statements = 0;
  succeeded = 0;
  isOver = false;
  readonly attempts: Record<string, number> = {};
  readonly findings: Record<string, number> = {};
  readonly attemptsByService = new Map<string, Attempt[]>();

  constructor(private readonly folder: string) {}

  readonly log = (event: string, fields: object): void => {
    const time = new Date().toISOString();
    const line = JSON.stringify(
      {time, event, ...fields},
      (_, value: unknown) =>
        value instanceof Map ? Object.fromEntries(value) : value,
    );
    appendFileSync(join(this.folder, 'run.log'), `${line}\n`);
  };

  readonly report = (finding: Finding): void => {
    count(this.findings, `${finding.rule}/${finding.kind}`);
    this.log('finding', finding);
  };

  readonly attempted = (service: string, attempt: Attempt): void => {
    count(this.attempts, attempt.outcome);
    const known = this.attemptsByService.get(service);
    if (known) known.push(attempt);
    else this.attemptsByService.set(service, [attempt]);
  };
}

/** Runs one seed. All processes that it started have ended when it resolves. */
export async function runSoak(options: SoakOptions): Promise<SoakResult> {
  const {seed, folder} = options;
  mkdirSync(folder, {recursive: true});
  const recorder = new Recorder(folder);
  const judge = StatementJudge.create(recorder.report);
  // The writes that tell whether a service has recovered are not judged.
  let isProbing = false;
  const random = Random.create(seed);
  const isPrimarySet = options.faults === FaultSet.primary;
  const world = await World.start({
    frontCount: options.fronts,
    program: options.program,
    folder,
    prepare: group => {
      if (!isPrimarySet) return;
      group.promotionMs = PROMOTION_MS;
      StandinReplication.start(group, ReplicationDelays.create(random).of);
    },
    onEvent: event => {
      if (isProbing) return;
      judge.observe(event);
      if (event.kind === 'ran' && !world.isWithinHomes(event))
        recorder.report({rule: 'HOME', kind: 'database', details: event});
    },
    onFailure: (kind, details) =>
      recorder.report({rule: 'PROCESS', kind, details}),
  });
  const endProcesses = (): void => {
    for (const front of [...world.fronts, ...world.spares]) {
      front.signal('SIGKILL');
    }
  };
  process.once('exit', endProcesses);
  judgePromotions(world, judge, recorder);
  if (isPrimarySet)
    world.members = world.groups.map(group =>
      Members.create(world, group, recorder.log),
    );
  const targets = {
    fronts: world.fronts.length,
    databases: world.databases.length,
    spares: world.spares.length,
    services: world.groups.length,
  };
  const lengthMs = options.minutes * 60_000;
  const {faults, kinds} = options;
  const schedule = drawSchedule(seed, lengthMs, targets, kinds, faults);
  recorder.log('schedule', {...options, schedule});
  const callers = startCallers(options, world, judge, recorder);
  const progressTimer = setInterval(() => {
    const {statements, succeeded} = recorder;
    recorder.log('progress', {statements, succeeded});
  }, PROGRESS_INTERVAL_MS);
  await applyFaults(world, schedule, recorder.log);
  await pause(SETTLE_MS);
  recorder.isOver = true;
  await Promise.all(callers);
  clearInterval(progressTimer);
  await world.untilLed().catch(() => recorder.log('not_led', {}));
  isProbing = true;
  for (const service of await world.unrecoveredServices(RECOVERY_LIMIT_MS)) {
    const databases = world.databases
      .filter(({group}) => group.service === service)
      .map(({id, pausedAtTerm, isPrimary}) => ({id, pausedAtTerm, isPrimary}));
    const details = {service, databases};
    recorder.report({rule: 'RECOVER', kind: 'service', details});
  }
  await pause(SETTLE_MS);
  for (const {service, primary} of world.groups) {
    const attempts = recorder.attemptsByService.get(service) ?? [];
    judgeCommits(attempts, primary?.log ?? []).forEach(recorder.report);
  }
  judgeEvacuations(world.evacuations.closed, world.databases).forEach(
    recorder.report,
  );
  await world.stop();
  process.off('exit', endProcesses);
  const {statements, succeeded, attempts, findings} = recorder;
  const faultCount = schedule.length;
  const result = {
    seed,
    faults: faultCount,
    statements,
    succeeded,
    attempts,
    findings,
  };
  recorder.log('result', result);
  return result;
}

/** Judges each promotion as it takes effect. */
function judgePromotions(
  {groups, store}: World,
  judge: StatementJudge,
  recorder: Recorder,
): void {
  const promotions = PromotionJudge.create({
    isListed: ({id}) => store.get(`servers/${id}`) !== undefined,
    databaseOf: id => judge.databaseOf(id),
  });
  for (const group of groups) {
    const {service} = group;
    group.onPromotion = (promoted, order) => {
      const attempts = recorder.attemptsByService.get(service) ?? [];
      const lost = promotions.judge(attempts, promoted, order);
      const logs = group.databases.map(({id, receivedPosition}) => ({
        id,
        receivedPosition,
      }));
      const {id} = promoted;
      const count = lost.length;
      recorder.log('promotion', {service, id, order, lost: count, logs});
      lost.forEach(recorder.report);
    };
  }
}

function startCallers(
  {seed, callersPerFront, faults}: SoakOptions,
  world: World,
  judge: StatementJudge,
  recorder: Recorder,
): Array<Promise<void>> {
  const host = {
    expect: (statement: Parameters<StatementJudge['expect']>[0]): void => {
      recorder.statements++;
      judge.expect(statement);
    },
    succeeded: (id: string, signature: string, rows: readonly string[]) => {
      recorder.succeeded++;
      judge.succeeded(id, signature, rows);
    },
    attempted: recorder.attempted,
    report: recorder.report,
    isOver: () => recorder.isOver,
  };
  return world.fronts.flatMap((front, frontIndex) =>
    Array.from({length: callersPerFront}, (_, index) => {
      const number = frontIndex * callersPerFront + index;
      const random = Random.create(seed * CALLER_SEED_FACTOR + number);
      return runCaller(
        {
          id: `c${number}`,
          front,
          customer: CUSTOMERS[number % CUSTOMERS.length],
          services: SERVICES,
          random,
          isBusy: faults === FaultSet.primary,
        },
        host,
      );
    }),
  );
}

/** Whether no rule was broken and something was served. */
export const hasPassed = ({findings, attempts}: SoakResult): boolean =>
  Object.keys(findings).length === 0 &&
  (attempts[Outcome.acknowledged] ?? 0) > 0;
