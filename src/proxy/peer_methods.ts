/** What VMs ask of each other besides heartbeats, configuration and lending. */
import {createHash} from 'node:crypto';
import {JSONRPCServer} from 'json-rpc-2.0';
import {Config, DatabaseConfig, findService} from '../core/config.js';
import {BackendConnection, BackendTarget} from '../pg/backend.js';
import {Fleet} from './fleet.js';

/** Asks whether a database can be reached on a new connection. */
export interface ReachParams {
  readonly service: string;
  readonly database: string;
}

/** Names a session as a cancel request does. */
export interface CancelParams {
  readonly processId: number;
  readonly secret: number;
}

/** What the methods need. */
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

/** The high part of the process ids that a VM hands out. */
export function cancelPrefixOf(vm: string): number {
  const digest = createHash('sha1').update(vm).digest();
  return digest.readUInt16BE(0) & CANCEL_PREFIX_MASK;
}

/** Both sides of the calls. */
export class PeerMethods {
  private constructor(private readonly options: PeerMethodsOptions) {
    const {rpc, cancel} = options;
    rpc.addMethod('group.reach', (params: ReachParams) => this.reach(params));
    rpc.addMethod('session.cancel', (params: CancelParams) =>
      cancel(params.processId, params.secret),
    );
  }

  static create(options: PeerMethodsOptions): PeerMethods {
    return new PeerMethods(options);
  }

  /** A VM's vote on a database; undefined when the VM does not answer. */
  async askObserver(
    vm: string,
    params: ReachParams,
  ): Promise<boolean | undefined> {
    if (vm === this.options.vm) return this.reach(params);
    try {
      const client = this.options.fleet.client(vm);
      return await client?.call('group.reach', params, CALL_TIMEOUT_MS);
    } catch {
      return undefined;
    }
  }

  /** Passes a cancel request on to the VM that its process id names. */
  async passCancel(params: CancelParams): Promise<void> {
    const {fleet} = this.options;
    const prefix = Math.floor(params.processId / 2 ** PROCESS_ID_BITS);
    const vm = fleet.peers.find(peer => cancelPrefixOf(peer) === prefix);
    if (vm === undefined) return;
    await fleet
      .client(vm)
      ?.call('session.cancel', params, CALL_TIMEOUT_MS)
      .catch(() => undefined);
  }

  /** Whether a new connection to a database can be opened from here. */
  private async reach(params: ReachParams): Promise<boolean | undefined> {
    const {config, targetOf} = this.options;
    const service = findService(config(), params.service);
    const database = service?.databases.find(d => d.name === params.database);
    if (!database) return undefined;
    const opened = await BackendConnection.connect({
      ...targetOf(params.service, database),
      connectTimeoutMs: REACH_TIMEOUT_MS,
    });
    if (opened.isOk()) opened.value.destroy();
    // A refusal for want of room is an answer of a living database.
    return opened.isOk() || /too many connections/.test(opened.error.message);
  }
}
