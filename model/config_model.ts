/**
 * Model of configuration changes. Two operators each confirm a plan through the
 * platform's compare-and-swap, whose answers may be lost. Two VMs receive the
 * configurations late and out of order. The platform may once be restored from
 * an older copy; calls in progress are lost then.
 */
import {Config, EMPTY_CONFIG, newerConfig} from '../src/core/config.js';
import {appliedVersion, applyPlan, makePlan, Plan} from '../src/core/plan.js';
import {Model} from './explore.js';

/** State of the platform, the VMs and the operators. */
export interface ConfigSystem {
  /** The current configuration in the platform. */
  readonly platform: Config;
  /** Every version the platform has had; each may still be in transit. */
  readonly published: readonly Config[];
  /** The configuration that each VM has applied. */
  readonly vms: readonly Config[];
  /** Highest version that each VM has ever applied. */
  readonly highestVersions: readonly number[];
  /** The configuration that each operator read for its compare-and-swap. */
  readonly expected: readonly (Config | undefined)[];
  /**
   * What each operator knows about its plan. `moved`: the configuration has
   * changed since the plan was made.
   */
  readonly outcomes: readonly ('unknown' | 'applied' | 'moved')[];
  readonly restores: number;
}

/** A transition of the model. `operator` and `vm` are indexes. */
export type ConfigEvent =
  | {
      readonly type: 'read' | 'swap' | 'swapUnanswered';
      readonly operator: number;
    }
  | {readonly type: 'receive'; readonly vm: number; readonly version: number}
  | {readonly type: 'restore'; readonly version: number};

/** The rules of the VMs and the platform; each mutant replaces one. */
export interface ConfigRules {
  /** Returns which configuration a VM keeps: its own or the received one. */
  readonly selectConfig: typeof newerConfig;
  /**
   * Whether the platform accepts a swap that expects `expected` while it holds
   * the configuration `platform`.
   */
  readonly canSwap: (platform: Config, expected: Config) => boolean;
  /** Whether the platform may be restored from an older copy. */
  readonly isRestorable: boolean;
  /**
   * Whether the newest configuration that a VM holds is written back before an
   * operator reads an older one from the platform.
   */
  readonly writesBack: boolean;
}

export const SAFE_CONFIG_RULES: ConfigRules = {
  selectConfig: newerConfig,
  canSwap: (platform, expected) => platform.version === expected.version,
  isRestorable: false,
  writesBack: true,
};

/** The rules where the platform may be restored. */
export const RESTORABLE_CONFIG_RULES: ConfigRules = {
  ...SAFE_CONFIG_RULES,
  isRestorable: true,
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
      highestVersions: [0, 0],
      expected: [undefined, undefined],
      outcomes: ['unknown', 'unknown'],
      restores: 0,
    },
    enabled: system => enabledEvents(system, rules),
    step: (system, event) => stepSystem(system, event, rules),
    invariants: {
      configurationNeverReverts: system =>
        system.vms.every(
          (applied, vm) => applied.version >= system.highestVersions[vm],
        ),
      oneWinnerPerVersion: system =>
        system.outcomes.filter(outcome => outcome === 'applied').length <= 1,
      appliedIsInForce: system =>
        system.outcomes.every(
          (outcome, operator) =>
            outcome !== 'applied' ||
            appliedVersion(inForce(system, rules), PLANS[operator].id) !==
              undefined,
        ),
    },
    fingerprint: system => JSON.stringify(system),
  };
}

/** The configuration that counts: the newest one, if restores may happen. */
const inForce = (system: ConfigSystem, rules: ConfigRules): Config =>
  rules.isRestorable
    ? system.vms.reduce(newerConfig, system.platform)
    : system.platform;

function enabledEvents(
  system: ConfigSystem,
  rules: ConfigRules,
): ConfigEvent[] {
  const events: ConfigEvent[] = [];
  PLANS.forEach((_, operator) => {
    if (system.outcomes[operator] !== 'unknown') return;
    events.push({type: 'read', operator});
    if (system.expected[operator]) {
      events.push({type: 'swap', operator}, {type: 'swapUnanswered', operator});
    }
  });
  system.vms.forEach((_, vm) => {
    for (const {version} of system.published) {
      events.push({type: 'receive', vm, version});
    }
  });
  if (rules.isRestorable && system.restores === 0) {
    for (const {version} of system.published) {
      events.push({type: 'restore', version});
    }
  }
  return events;
}

function stepSystem(
  system: ConfigSystem,
  event: ConfigEvent,
  rules: ConfigRules,
): ConfigSystem {
  switch (event.type) {
    case 'read':
      return readConfig(writeBack(system, rules), event.operator, rules);
    case 'swap':
    case 'swapUnanswered':
      return swap(system, event.operator, event.type === 'swap', rules);
    case 'receive':
      return receive(system, event.vm, event.version, rules);
    case 'restore':
      return {
        ...system,
        platform: documentOf(system, event.version),
        expected: [undefined, undefined],
        restores: system.restores + 1,
      };
  }
}

const documentOf = (system: ConfigSystem, version: number): Config =>
  system.published.find(entry => entry.version === version) ?? EMPTY_CONFIG;

/** Writes the newest configuration of a VM back if the platform has lost it. */
const writeBack = (system: ConfigSystem, rules: ConfigRules): ConfigSystem =>
  rules.isRestorable && rules.writesBack
    ? {...system, platform: inForce(system, rules)}
    : system;

/**
 * An operator reads the configuration. If it contains the id of the operator's
 * plan, a swap whose answer was lost has applied the plan.
 */
function readConfig(
  system: ConfigSystem,
  operator: number,
  rules: ConfigRules,
): ConfigSystem {
  const applied = appliedVersion(system.platform, PLANS[operator].id);
  const read = {
    ...system,
    expected: system.expected.with(operator, system.platform),
  };
  return applied === undefined
    ? read
    : confirm(read, operator, system.platform.version, rules);
}

/** Tells an operator that its plan is applied. */
function confirm(
  system: ConfigSystem,
  operator: number,
  version: number,
  rules: ConfigRules,
): ConfigSystem {
  const confirmed = {
    ...system,
    outcomes: system.outcomes.with(operator, 'applied'),
  };
  // The VM that the operator calls applies what it confirms.
  return rules.isRestorable
    ? receive(confirmed, operator, version, rules)
    : confirmed;
}

function swap(
  system: ConfigSystem,
  operator: number,
  isAnswered: boolean,
  rules: ConfigRules,
): ConfigSystem {
  const expected = system.expected[operator] ?? EMPTY_CONFIG;
  const cleared = {
    ...system,
    expected: system.expected.with(operator, undefined),
  };
  const next = applyPlan(expected, PLANS[operator], `operator${operator}`, 0);
  if (next.isErr()) {
    return {...cleared, outcomes: system.outcomes.with(operator, 'moved')};
  }
  if (!rules.canSwap(system.platform, expected)) return cleared;
  const swapped = {
    ...cleared,
    platform: next.value,
    published: [...system.published, next.value],
  };
  return isAnswered
    ? confirm(swapped, operator, next.value.version, rules)
    : swapped;
}

function receive(
  system: ConfigSystem,
  vm: number,
  version: number,
  rules: ConfigRules,
): ConfigSystem {
  const document = documentOf(system, version);
  const applied = rules.selectConfig(system.vms[vm], document);
  return {
    ...system,
    vms: system.vms.with(vm, applied),
    highestVersions: system.highestVersions.with(
      vm,
      Math.max(system.highestVersions[vm], applied.version),
    ),
  };
}
