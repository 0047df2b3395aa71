/**
 * Asks fronts whether a primary fails every statement. Each answers from what it
 * saw itself within the last second.
 */
import {Directory} from '../core/directory.js';
import {Fronts} from '../core/fronts.js';
import {FailingVote} from '../core/load/failing_primary.js';
import {Dispatcher, PeerMethodName} from './dispatcher.js';
import {decodeFailingVote, VoteRequest} from './peer_messages.js';
import {Router} from './router.js';
import {withTimeout} from './timeout.js';

export interface FailingVotesOptions {
  /** Name of this VM. */
  readonly self: string;
  readonly fronts: () => Fronts;
  readonly directory: () => Directory;
  readonly dispatcher: Dispatcher;
  readonly router: Router;
}

/** Fronts that vote, this one included. */
const MAX_VOTERS = 7;
/**
 * Voters that are asked since they may hold the database's connections; fronts
 * far from it seldom have evidence.
 */
const MAX_HOLDERS = 4;
const VOTE_TIMEOUT_MS = 400;

export class FailingVotes {
  private constructor(private readonly options: FailingVotesOptions) {}

  static create(options: FailingVotesOptions): FailingVotes {
    return new FailingVotes(options);
  }

  /** Returns this front's vote. */
  own(database: string): FailingVote {
    const {dispatcher, router} = this.options;
    const worker = dispatcher.workersByDatabase.get(database);
    return router.failingVote(database, worker?.answerCounts);
  }

  /** Collects the votes of this and other fronts; one without reply has none. */
  async collect(database: string): Promise<readonly FailingVote[]> {
    const votes = await Promise.all(
      this.votersOf(database).map(vm => this.request(vm, database)),
    );
    return [this.own(database), ...votes];
  }

  private votersOf(database: string): readonly string[] {
    const {self, fronts, directory, dispatcher} = this.options;
    const entry = directory().get(database);
    const isOther = (vm: string): boolean => vm !== self;
    const holders = (entry ? dispatcher.holders(entry) : [])
      .slice(0, MAX_HOLDERS)
      .map(({vm}) => vm)
      .filter(isOther);
    const others = [...fronts().values()]
      .filter(({vm, leaving}) => !leaving && !holders.includes(vm))
      .map(({vm}) => vm)
      .filter(isOther)
      .sort(() => Math.random() - 0.5);
    return [...holders, ...others].slice(0, MAX_VOTERS - 1);
  }

  private async request(vm: string, database: string): Promise<FailingVote> {
    try {
      const request: VoteRequest = {database, on: 'failing'};
      const link = this.options.dispatcher.link(vm);
      const call = link?.call(PeerMethodName.probe, request);
      return call
        ? decodeFailingVote(await withTimeout(call, VOTE_TIMEOUT_MS))
        : {};
    } catch {
      // A front that does not reply abstains.
      return {};
    }
  }
}
