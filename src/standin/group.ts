/**
 * A stand-in database group in this process: one primary and its replicas,
 * each on its own port.
 */
import {Subscription, interval} from 'rxjs';
import {DatabaseConfig} from '../core/config.js';
import {DatabaseOptions, StandinDatabase} from './database.js';
import {DatabaseServer} from './database_server.js';
import {Violation} from './transaction_judge.js';

/** Options of a group; see `DatabaseOptions` for those of each database. */
export interface GroupOptions {
  readonly service: string;
  /** Number of databases, including the primary. */
  readonly databases: number;
  /** Places of the databases; used in turn if there are fewer. */
  readonly places: readonly {region: string; zone: string}[];
  readonly slots: number;
  readonly connections: number;
  readonly connectMs: number;
  readonly serviceTimeMs: number;
  readonly lagMs: number;
  /** Returns the lag of a database by its index; overrides `lagMs`. */
  readonly lagMsByIndex?: (index: number) => number;
  readonly password?: string;
  /** First of consecutive ports, one for each database; free if undefined. */
  readonly basePort?: number;
  readonly onBytesReceived?: (chunk: Buffer) => void;
  /** Called with each statement that ran in a wrong transaction. */
  readonly onViolation?: (violation: Violation) => void;
}

const REPLICATION_INTERVAL_MS = 5;

/** Runs the databases of one group and replicates between them. */
export class StandinGroup {
  private constructor(
    readonly options: GroupOptions,
    readonly servers: readonly DatabaseServer[],
    private readonly replication: Subscription,
  ) {}

  static async create(options: GroupOptions): Promise<StandinGroup> {
    const databases = createDatabases(options);
    const findDatabase = (name: string): StandinDatabase | undefined =>
      databases.find(database => database.name === name);
    const servers: DatabaseServer[] = [];
    for (const [index, database] of databases.entries()) {
      servers.push(
        await DatabaseServer.create({
          database,
          findDatabase,
          password: options.password,
          onBytesReceived: options.onBytesReceived,
          onViolation: options.onViolation,
          port: options.basePort && options.basePort + index,
        }),
      );
    }
    const replication = interval(REPLICATION_INTERVAL_MS).subscribe(() =>
      databases.forEach(database => database.replicate()),
    );
    return new StandinGroup(options, servers, replication);
  }

  /** The primary with the highest term. */
  get primary(): DatabaseServer {
    const primaries = this.servers.filter(s => s.database.isPrimary);
    primaries.sort(
      (a, b) => b.database.status().term - a.database.status().term,
    );
    return primaries[0];
  }

  /** Returns the databases in the form that a service's configuration lists. */
  databaseConfigs(): DatabaseConfig[] {
    return this.servers.map((server, index) => ({
      name: server.database.name,
      host: '127.0.0.1',
      port: server.port,
      leaving: false,
      ...this.options.places[index % this.options.places.length],
    }));
  }

  /**
   * Returns the row id of each change of a table in the current primary's log,
   * in commit order.
   */
  committedIds(table: string): string[] {
    return this.primary.database
      .committed()
      .flatMap(entry => entry.changes)
      .filter(change => change.table === table)
      .map(change => change.id);
  }

  async close(): Promise<void> {
    this.replication.unsubscribe();
    await Promise.all(this.servers.map(server => server.close()));
  }
}

function createDatabases(options: GroupOptions): StandinDatabase[] {
  const databases = Array.from({length: options.databases}, (_, index) => {
    const databaseOptions: DatabaseOptions = {
      ...options,
      name: `${options.service}-db${index + 1}`,
      lagMs: options.lagMsByIndex?.(index) ?? options.lagMs,
    };
    return StandinDatabase.create(databaseOptions);
  });
  const [first, ...replicas] = databases;
  first.becomeFirstPrimary();
  replicas.forEach(replica => replica.follow(1, first));
  return databases;
}
