/**
 * Configuration: two operators confirm against the platform's compare-and-swap
 * while answers are lost; two VMs receive documents late and out of order.
 */
import {Config, EMPTY_CONFIG, newerConfig} from '../src/core/config.js';
import {appliedVersion, applyPlan, makePlan, Plan} from '../src/core/plan.js';
import {Model} from './explore.js';

/** The whole system. */
export interface ConfigSystem {
  readonly platform: Config;
  /** Every version that was ever in the platform, as it may still travel. */
  readonly published: readonly Config[];
  readonly vms: readonly Config[];
  /** Highest version that each VM has ever applied. */
  readonly highest: readonly number[];
  /** What each operator read before its compare-and-swap. */
  readonly read: readonly (Config | undefined)[];
  readonly told: readonly ('nothing' | 'applied' | 'moved')[];
}

/** One thing that may happen. */
export type ConfigEvent =
  | {
      readonly type: 'read' | 'swap' | 'swapUnanswered';
      readonly operator: number;
    }
  | {readonly type: 'receive'; readonly vm: number; readonly version: number};

/** Parts that mutants replace. */
export interface ConfigRules {
  readonly take: typeof newerConfig;
  /** Whether a swap against `read` may replace `platform`. */
  readonly maySwap: (platform: Config, read: Config) => boolean;
}

export const SAFE_CONFIG_RULES: ConfigRules = {
  take: newerConfig,
  maySwap: (platform, read) => platform.version === read.version,
};

const PLANS: readonly Plan[] = [10, 20].map((ratePerS, index) =>
  makePlan(
    EMPTY_CONFIG,
    {
      actions: [
        {
          do: 'put_customer',
          customer: {
            name: `c${index}`,
            services: [],
            ratePerS,
            burst: 1,
            weight: 1,
          },
        },
      ],
    },
    `operator${index}`,
    String(index),
  )._unsafeUnwrap(),
);

/** Builds the model. */
export function configModel(
  name: string,
  rules: ConfigRules,
): Model<ConfigSystem, ConfigEvent> {
  return {
    name,
    initial: {
      platform: EMPTY_CONFIG,
      published: [EMPTY_CONFIG],
      vms: [EMPTY_CONFIG, EMPTY_CONFIG],
      highest: [0, 0],
      read: [undefined, undefined],
      told: ['nothing', 'nothing'],
    },
    enabled: enabledEvents,
    step: (system, event) => stepSystem(system, event, rules),
    invariants: {
      configurationNeverReverts: system =>
        system.vms.every((held, vm) => held.version >= system.highest[vm]),
      oneWinnerPerVersion: system =>
        system.told.filter(word => word === 'applied').length <= 1,
      appliedIsInForce: system =>
        system.told.every(
          (word, operator) =>
            word !== 'applied' ||
            appliedVersion(system.platform, PLANS[operator].id) !== undefined,
        ),
    },
    fingerprint: system => JSON.stringify(system),
  };
}

function enabledEvents(system: ConfigSystem): ConfigEvent[] {
  const events: ConfigEvent[] = [];
  PLANS.forEach((_, operator) => {
    if (system.told[operator] !== 'nothing') return;
    events.push({type: 'read', operator});
    if (system.read[operator]) {
      events.push({type: 'swap', operator}, {type: 'swapUnanswered', operator});
    }
  });
  system.vms.forEach((_, vm) => {
    for (const {version} of system.published) {
      events.push({type: 'receive', vm, version});
    }
  });
  return events;
}

function stepSystem(
  system: ConfigSystem,
  event: ConfigEvent,
  rules: ConfigRules,
): ConfigSystem {
  switch (event.type) {
    case 'read':
      return readBy(system, event.operator);
    case 'swap':
    case 'swapUnanswered':
      return swap(system, event.operator, event.type === 'swap', rules);
    case 'receive':
      return receive(system, event.vm, event.version, rules);
  }
}

/** Reads the platform; a plan found applied there is resolved by its id. */
function readBy(system: ConfigSystem, operator: number): ConfigSystem {
  const applied = appliedVersion(system.platform, PLANS[operator].id);
  return {
    ...system,
    read: system.read.with(operator, system.platform),
    told:
      applied === undefined
        ? system.told
        : system.told.with(operator, 'applied'),
  };
}

function swap(
  system: ConfigSystem,
  operator: number,
  answered: boolean,
  rules: ConfigRules,
): ConfigSystem {
  const read = system.read[operator] ?? EMPTY_CONFIG;
  const cleared = {...system, read: system.read.with(operator, undefined)};
  const next = applyPlan(read, PLANS[operator], `operator${operator}`, 0);
  if (next.isErr()) {
    return {...cleared, told: system.told.with(operator, 'moved')};
  }
  if (!rules.maySwap(system.platform, read)) return cleared;
  return {
    ...cleared,
    platform: next.value,
    published: [...system.published, next.value],
    told: answered ? system.told.with(operator, 'applied') : system.told,
  };
}

function receive(
  system: ConfigSystem,
  vm: number,
  version: number,
  rules: ConfigRules,
): ConfigSystem {
  const document = system.published.find(entry => entry.version === version);
  const held = rules.take(system.vms[vm], document ?? EMPTY_CONFIG);
  return {
    ...system,
    vms: system.vms.with(vm, held),
    highest: system.highest.with(
      vm,
      Math.max(system.highest[vm], held.version),
    ),
  };
}
