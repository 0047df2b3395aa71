/** A stand-in group: one primary and its replicas, each with its own port. */
import {Subscription, interval} from 'rxjs';
import {DatabaseConfig} from '../core/config.js';
import {DatabaseOptions, StandinDatabase} from './database.js';
import {DatabaseServer} from './database_server.js';

/** How a group is laid out. */
export interface GroupOptions {
  readonly service: string;
  readonly databases: number;
  readonly places: readonly {region: string; zone: string}[];
  readonly slots: number;
  readonly connections: number;
  readonly connectMs: number;
  readonly serviceTimeMs: number;
  readonly lagMs: number;
  /** Lag of each database by index, in place of `lagMs` for all. */
  readonly lagMsByIndex?: (index: number) => number;
  readonly password?: string;
  /** First port; the others follow. Undefined takes free ports. */
  readonly basePort?: number;
  readonly onBytesReceived?: (chunk: Buffer) => void;
}

const REPLICATION_TICK_MS = 5;

/** A running stand-in group. */
export class StandinGroup {
  private constructor(
    readonly options: GroupOptions,
    readonly servers: readonly DatabaseServer[],
    private readonly ticking: Subscription,
  ) {}

  static async create(options: GroupOptions): Promise<StandinGroup> {
    const databases = makeDatabases(options);
    const find = (name: string): StandinDatabase | undefined =>
      databases.find(database => database.name === name);
    const servers: DatabaseServer[] = [];
    for (const [index, database] of databases.entries()) {
      servers.push(
        await DatabaseServer.create({
          database,
          find,
          password: options.password,
          onBytesReceived: options.onBytesReceived,
          port: options.basePort && options.basePort + index,
        }),
      );
    }
    const ticking = interval(REPLICATION_TICK_MS).subscribe(() =>
      databases.forEach(database => database.replicate()),
    );
    return new StandinGroup(options, servers, ticking);
  }

  get primary(): DatabaseServer {
    const primaries = this.servers.filter(s => s.database.isPrimary);
    primaries.sort(
      (a, b) => b.database.status().term - a.database.status().term,
    );
    return primaries[0];
  }

  /** The databases as a service's configuration names them. */
  databaseConfigs(): DatabaseConfig[] {
    return this.servers.map((server, index) => ({
      name: server.database.name,
      host: '127.0.0.1',
      port: server.port,
      leaving: false,
      ...this.options.places[index % this.options.places.length],
    }));
  }

  /** Ids of committed rows of a table on the present primary's log. */
  committedIds(table: string): string[] {
    return this.primary.database
      .committed()
      .flatMap(entry => entry.changes)
      .filter(change => change.table === table)
      .map(change => change.id);
  }

  async close(): Promise<void> {
    this.ticking.unsubscribe();
    await Promise.all(this.servers.map(server => server.close()));
  }
}

function makeDatabases(options: GroupOptions): StandinDatabase[] {
  const databases = Array.from({length: options.databases}, (_, index) => {
    const settings: DatabaseOptions = {
      ...options,
      name: `${options.service}-db${index + 1}`,
      lagMs: options.lagMsByIndex?.(index) ?? options.lagMs,
    };
    return StandinDatabase.create(settings);
  });
  const [first, ...others] = databases;
  first.becomeFirstPrimary();
  others.forEach(replica => replica.follow(1, first));
  return databases;
}
