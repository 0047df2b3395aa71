/**
 * Assembles a caller's frames into batches that can run on any connection.
 * Prepared statements are kept in the session: before a use, the batch gets a
 * Parse of the unnamed statement, and the session drops its ParseComplete.
 */

/** The message that ends a batch. */
export const Boundary = {query: 'query', sync: 'sync', flush: 'flush'} as const;
export type Boundary = (typeof Boundary)[keyof typeof Boundary];

/** A frontend message with the parts that a batch uses. */
export type FrontendMessage =
  | {readonly type: 'query'; readonly text: string; readonly frame: Buffer}
  | {
      readonly type: 'parse';
      readonly name: string;
      readonly text: string;
      /** The frame with an empty statement name. */
      readonly unnamedFrame: Buffer;
    }
  | {
      readonly type: 'bind' | 'describeStatement' | 'closeStatement';
      readonly name: string;
      readonly unnamedFrame: Buffer;
    }
  | {
      readonly type: 'execute' | 'describePortal' | 'closePortal';
      readonly frame: Buffer;
    }
  | {readonly type: 'sync' | 'flush'; readonly frame: Buffer};

/** The frames up to one boundary. */
export interface Batch {
  readonly boundary: Boundary;
  readonly frames: readonly Buffer[];
  /** SQL texts that the batch parses, binds or runs. */
  readonly texts: readonly string[];
  /** Types of the caller's messages, in order. */
  readonly messages: readonly FrontendMessage['type'][];
  /** For each forwarded Parse: whether the caller expects its ParseComplete. */
  readonly parseVisible: readonly boolean[];
  readonly sizeBytes: number;
}

/** What is kept of a Parse, to repeat it before later uses. */
interface Prepared {
  readonly text: string;
  readonly unnamedFrame: Buffer;
}

/** Memory limits of one session. */
export interface BatchLimits {
  readonly maxStatements: number;
  readonly maxBatchBytes: number;
}

/** Result of adding one message; `more`: the batch is not complete yet. */
export type AddResult =
  | {readonly kind: 'more'}
  | {readonly kind: 'batch'; readonly batch: Batch}
  | {readonly kind: 'unknownStatement'; readonly name: string}
  | {readonly kind: 'overLimit'};

const MORE: AddResult = {kind: 'more'};

/** Collects the messages of one session into batches. */
export class BatchBuilder {
  private readonly prepared = new Map<string, Prepared>();
  /** Name of the statement in the unnamed slot after the collected frames. */
  private unnamedStatement: string | undefined;
  private frames: Buffer[] = [];
  private texts: string[] = [];
  private messages: FrontendMessage['type'][] = [];
  private parseVisible: boolean[] = [];
  private sizeBytes = 0;

  private constructor(private readonly limits: BatchLimits) {}

  static create(limits: BatchLimits): BatchBuilder {
    return new BatchBuilder(limits);
  }

  /** Forgets all prepared statements of the session. */
  discardStatements(): void {
    this.prepared.clear();
    this.unnamedStatement = undefined;
  }

  /** Adds a message; returns the batch if the message is a boundary. */
  add(message: FrontendMessage): AddResult {
    this.messages.push(message.type);
    switch (message.type) {
      case 'query':
        this.texts.push(message.text);
        this.append(message.frame);
        return this.finish(Boundary.query);
      case 'sync':
        this.append(message.frame);
        return this.finish(Boundary.sync);
      case 'flush':
        this.append(message.frame);
        return this.finish(Boundary.flush);
      case 'parse':
        return this.addParse(message);
      case 'bind':
      case 'describeStatement':
        return this.addUse(message);
      case 'closeStatement':
        this.prepared.delete(message.name);
        this.unnamedStatement = undefined;
        return this.append(message.unnamedFrame);
      default:
        return this.append(message.frame);
    }
  }

  private addParse(
    message: Extract<FrontendMessage, {type: 'parse'}>,
  ): AddResult {
    const {name, text, unnamedFrame} = message;
    // Copies the frame, because a slice would retain the whole received chunk.
    this.prepared.set(name, {text, unnamedFrame: Buffer.from(unnamedFrame)});
    if (this.prepared.size > this.limits.maxStatements) {
      return {kind: 'overLimit'};
    }
    this.appendParse(name, text, unnamedFrame, true);
    return this.checkSize();
  }

  private addUse(message: {name: string; unnamedFrame: Buffer}): AddResult {
    const known = this.prepared.get(message.name);
    if (!known) return {kind: 'unknownStatement', name: message.name};
    if (this.unnamedStatement !== message.name) {
      this.appendParse(message.name, known.text, known.unnamedFrame, false);
    }
    return this.append(message.unnamedFrame);
  }

  private appendParse(
    name: string,
    text: string,
    unnamedFrame: Buffer,
    isVisible: boolean,
  ): void {
    this.unnamedStatement = name;
    this.texts.push(text);
    this.parseVisible.push(isVisible);
    this.append(unnamedFrame);
  }

  private append(frame: Buffer): AddResult {
    this.frames.push(frame);
    this.sizeBytes += frame.length;
    return this.checkSize();
  }

  private checkSize(): AddResult {
    return this.sizeBytes > this.limits.maxBatchBytes
      ? {kind: 'overLimit'}
      : MORE;
  }

  private finish(boundary: Boundary): AddResult {
    if (this.checkSize().kind === 'overLimit') return {kind: 'overLimit'};
    const batch: Batch = {
      boundary,
      frames: this.frames,
      texts: this.texts,
      messages: this.messages,
      parseVisible: this.parseVisible,
      sizeBytes: this.sizeBytes,
    };
    this.frames = [];
    this.texts = [];
    this.messages = [];
    this.parseVisible = [];
    this.sizeBytes = 0;
    // The next batch may run on another connection.
    this.unnamedStatement = undefined;
    return {kind: 'batch', batch};
  }
}
