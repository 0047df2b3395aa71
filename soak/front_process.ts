/** One front as an operating system process, started again under its name. */
import {ChildProcess, spawn} from 'node:child_process';
import {closeSync, openSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {EVACUATE_MS} from './evacuation_judge.js';
import {PeerProxy} from './peer_proxy.js';
import {ZONES} from '../test/platform/fleet_fixture.js';

const CALLER_PORT = 8_465;
const READY_PORT = 8_460;
/** Time in which a front must stop after SIGTERM. */
const GRACE_S = 4;
/** Longer than the grace period, as a frozen process handles no signal. */
const STOP_LIMIT_MS = 8_000;
const PEER_PORTS = [7_560, 7_575] as const;
/** Port of the relay through which other fronts reach a front. */
export const PEER_PROXY_PORT = PEER_PORTS[1];

export interface FrontProcessOptions {
  readonly name: string;
  readonly zone: string;
  /** Loopback address of its own, as all fronts use the same ports. */
  readonly host: string;
  readonly program: string;
  /** Addresses at which other fronts find this one. */
  readonly peerHosts: readonly string[];
  /** Address at which this front finds the store and the databases. */
  readonly platformHost: string;
  readonly storePort: number;
  /** Folder of settings files and logs. */
  readonly folder: string;
  /** Called when a process ends by itself, or does not stop in time. */
  readonly onFailure: (kind: string, details: object) => void;
}

/** The settings file; JSON is valid YAML. */
const settingsOf = (
  {name, zone, host, platformHost, storePort}: FrontProcessOptions,
  isFirstStart: boolean,
): object => ({
  node_name: name,
  ip: host,
  zone,
  region: zone,
  zones: Object.fromEntries(ZONES.map(z => [z, z])),
  listen: {
    front: `${host}:${CALLER_PORT}`,
    ready_addr: `${host}:${READY_PORT}`,
  },
  port_range: PEER_PORTS,
  bootstrap: isFirstStart,
  beat_interval_ms: 1_000,
  bounds: {
    revoke_ms: 5_000,
    grace_s: GRACE_S,
    require_fence: true,
    evacuate_ms: EVACUATE_MS,
  },
  platform: {addr: `${platformHost}:${storePort}`, min_ttl_ms: 500},
  cloud_api: {addr: `${platformHost}:${storePort}`},
});

/** A named front, its present process, if any, and the relay to it. */
export class FrontProcess {
  readonly callerPort = CALLER_PORT;
  /** How often a process of this name was started. */
  starts = 0;
  private child: ChildProcess | undefined;
  private proxy: PeerProxy | undefined;
  private ended: Promise<void> = Promise.resolve();
  /** Whether the present process was told to end. */
  private isEnding = false;

  private constructor(private readonly options: FrontProcessOptions) {}

  static async create(options: FrontProcessOptions): Promise<FrontProcess> {
    const front = new FrontProcess(options);
    front.proxy = await PeerProxy.start(
      options.peerHosts,
      PEER_PROXY_PORT,
      options.host,
      PEER_PORTS[0],
    );
    return front;
  }

  /** Closes the connections that other fronts have opened to this one. */
  cutPeers(): void {
    this.proxy?.cut();
  }

  /** Makes these connections silent; they stay open. */
  silencePeers(): void {
    this.proxy?.silence();
  }

  /** Cuts off the fronts that find this one at some addresses, silently. */
  silencePeersAt(hosts: readonly string[]): void {
    for (const host of hosts) this.proxy?.silenceHost(host);
  }

  /** Ends `silencePeersAt`. */
  restorePeersAt(hosts: readonly string[]): void {
    for (const host of hosts) this.proxy?.restoreHost(host);
  }

  get peerHosts(): readonly string[] {
    return this.options.peerHosts;
  }

  get zone(): string {
    return this.options.zone;
  }

  get name(): string {
    return this.options.name;
  }

  /** Address at which this front finds the store and the databases. */
  get platformHost(): string {
    return this.options.platformHost;
  }

  get host(): string {
    return this.options.host;
  }

  get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Starts a process unless one runs; its output is appended to the log. */
  start(): void {
    if (this.child) return;
    const {name, folder, program} = this.options;
    const settings = join(folder, `${name}.yaml`);
    writeFileSync(
      settings,
      JSON.stringify(settingsOf(this.options, this.starts === 0)),
    );
    const log = openSync(join(folder, `${name}.log`), 'a');
    const child = spawn(
      process.execPath,
      ['--max-old-space-size=160', program],
      {
        stdio: ['ignore', log, log],
        env: {PATH: process.env.PATH, MUSTARDPASS_NODE_FILE: settings},
      },
    );
    closeSync(log);
    this.starts++;
    this.child = child;
    this.isEnding = false;
    this.ended = new Promise(resolve =>
      child.once('close', (code, signal) => {
        if (!this.isEnding) {
          this.options.onFailure('ended', {front: name, code, signal});
        }
        if (this.child === child) this.child = undefined;
        resolve();
      }),
    );
  }

  /** Sends a signal to the present process. */
  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Ends the process and the relay. */
  async close(): Promise<void> {
    await this.end('SIGKILL');
    await this.proxy?.stop();
  }

  /** Ends the present process; resolves once it is gone. */
  async end(signal: NodeJS.Signals): Promise<void> {
    this.isEnding = true;
    this.signal(signal);
    const timer = setTimeout(() => {
      this.options.onFailure('not_stopped', {front: this.name, signal});
      this.signal('SIGKILL');
    }, STOP_LIMIT_MS);
    await this.ended;
    clearTimeout(timer);
  }

  /** Whether the front reports itself ready. */
  async isReady(): Promise<boolean> {
    const url = `http://${this.host}:${READY_PORT}/-/readiness`;
    return fetch(url, {signal: AbortSignal.timeout(1_000)}).then(
      response => response.ok,
      () => false,
    );
  }
}
