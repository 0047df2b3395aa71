/** The public API of mustardpass as a library. */
export {Proxy, type ProxyHooks} from './proxy/proxy.js';
export {
  describeSettings,
  resolveSettings,
  SETTINGS,
  type ResolvedSettings,
  type Settings,
} from './proxy/settings.js';
export {
  ANSWERS,
  answerOf,
  failure,
  Outcome,
  type ErrorKind,
  type Failure,
} from './core/errors.js';
export {
  configSchema,
  WriteAck,
  type Config,
  type CustomerConfig,
  type DatabaseConfig,
  type ServiceConfig,
} from './core/config.js';
export {
  applyPlan,
  intentSchema,
  makePlan,
  parseIntent,
  type Intent,
  type Plan,
} from './core/plan.js';
export {
  routeToPrimary,
  routeToReplicas,
  type GroupView,
  type ReadNeed,
  type ReadRoute,
  type RouteRead,
} from './core/routing.js';
export {
  SAFE_RULES,
  type FailoverEffect,
  type FailoverEvent,
  type FailoverRules,
  type FailoverState,
} from './core/failover_state.js';
export {stepFailover} from './core/failover.js';
export type {
  Executor,
  Lane,
  LaneBatch,
  LaneRequest,
  LaneSink,
} from './core/lane.js';
export {type Store, type StoreError, StoreErrorKind} from './store/store.js';
export {enableLogs} from './proxy/log.js';
