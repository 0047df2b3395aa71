/**
 * RPC methods between VMs other than heartbeats, configuration and lending:
 * votes on whether a database is reachable, and cancel requests.
 */
import {createHash} from 'node:crypto';
import {JSONRPCServer} from 'json-rpc-2.0';
import {Config, DatabaseConfig, findService} from '../core/config.js';
import {BackendConnection, BackendTarget} from '../pg/backend.js';
import {Fleet} from './fleet.js';

/** Parameters of `group.reach`: a database to open a new connection to. */
export interface ReachParams {
  readonly service: string;
  readonly database: string;
}

/**
 * Parameters of `session.cancel`: the process id and secret of a PostgreSQL
 * cancel request, which identify a session.
 */
export interface CancelParams {
  readonly processId: number;
  readonly secret: number;
}

export interface PeerMethodsOptions {
  readonly vm: string;
  readonly rpc: JSONRPCServer;
  readonly fleet: Fleet;
  readonly config: () => Config;
  readonly targetOf: (
    service: string,
    database: DatabaseConfig,
  ) => BackendTarget;
  /** Cancels a statement of one of this VM's sessions. */
  readonly cancel: (processId: number, secret: number) => boolean;
}

const REACH_TIMEOUT_MS = 400;
const CALL_TIMEOUT_MS = 800;
const CANCEL_PREFIX_MASK = 0x7fff;
const PROCESS_ID_BITS = 16;

/** Returns the high bits of the process ids that a VM assigns to sessions. */
export function cancelPrefixOf(vm: string): number {
  const digest = createHash('sha1').update(vm).digest();
  return digest.readUInt16BE(0) & CANCEL_PREFIX_MASK;
}

/**
 * Serves `group.reach` and `session.cancel` to other VMs and calls them there.
 */
export class PeerMethods {
  private constructor(private readonly options: PeerMethodsOptions) {
    const {rpc, cancel} = options;
    rpc.addMethod('group.reach', (params: ReachParams) =>
      this.canReach(params),
    );
    rpc.addMethod('session.cancel', (params: CancelParams) =>
      cancel(params.processId, params.secret),
    );
  }

  static create(options: PeerMethodsOptions): PeerMethods {
    return new PeerMethods(options);
  }

  /**
   * Returns a VM's vote on whether a database is reachable; undefined if the VM
   * does not answer or does not know the database.
   */
  async requestVote(
    vm: string,
    params: ReachParams,
  ): Promise<boolean | undefined> {
    if (vm === this.options.vm) return this.canReach(params);
    try {
      const client = this.options.fleet.client(vm);
      return await client?.call('group.reach', params, CALL_TIMEOUT_MS);
    } catch {
      return undefined;
    }
  }

  /** Forwards a cancel request to the VM that assigned its process id. */
  async forwardCancel(params: CancelParams): Promise<void> {
    const {fleet} = this.options;
    const prefix = Math.floor(params.processId / 2 ** PROCESS_ID_BITS);
    const vm = fleet.peers.find(peer => cancelPrefixOf(peer) === prefix);
    if (vm === undefined) return;
    await fleet
      .client(vm)
      ?.call('session.cancel', params, CALL_TIMEOUT_MS)
      .catch(() => undefined);
  }

  /**
   * Returns whether this VM can open a new connection to a database; undefined
   * if the configuration does not contain it.
   */
  private async canReach(params: ReachParams): Promise<boolean | undefined> {
    const {config, targetOf} = this.options;
    const service = findService(config(), params.service);
    const database = service?.databases.find(d => d.name === params.database);
    if (!database) return undefined;
    const opened = await BackendConnection.connect({
      ...targetOf(params.service, database),
      connectTimeoutMs: REACH_TIMEOUT_MS,
    });
    if (opened.isOk()) opened.value.destroy();
    // A database that rejects a connection because of its limit is reachable.
    return opened.isOk() || /too many connections/.test(opened.error.message);
  }
}
