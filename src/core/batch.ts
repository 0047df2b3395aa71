/**
 * Assembles a caller's frames into batches that can run on any connection.
 * Prepared statements stay with the session: every use is preceded by a Parse
 * of the unnamed statement, whose extra ParseComplete the session drops.
 */

/** What ends a batch. */
export const Boundary = {query: 'query', sync: 'sync', flush: 'flush'} as const;
export type Boundary = (typeof Boundary)[keyof typeof Boundary];

/** A frontend message, as far as a batch needs to know it. */
export type FrontendMessage =
  | {readonly type: 'query'; readonly text: string; readonly frame: Buffer}
  | {
      readonly type: 'parse';
      readonly name: string;
      readonly text: string;
      /** The frame with its statement name emptied. */
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

/** Frames up to one boundary. */
export interface Batch {
  readonly boundary: Boundary;
  readonly frames: readonly Buffer[];
  /** Texts of the statements that the batch parses, binds or runs. */
  readonly texts: readonly string[];
  /** Kinds of the messages the caller sent, in order. */
  readonly messages: readonly FrontendMessage['type'][];
  /** For each Parse sent on: whether its completion is the caller's. */
  readonly parseVisible: readonly boolean[];
  readonly sizeBytes: number;
}

/** A statement the session has prepared. */
interface Prepared {
  readonly text: string;
  readonly unnamedFrame: Buffer;
}

/** Limits of what one session may hold. */
export interface BatchLimits {
  readonly maxStatements: number;
  readonly maxBatchBytes: number;
}

/** Result of adding one message. */
export type AddResult =
  | {readonly kind: 'more'}
  | {readonly kind: 'batch'; readonly batch: Batch}
  | {readonly kind: 'unknownStatement'; readonly name: string}
  | {readonly kind: 'overLimit'};

const MORE: AddResult = {kind: 'more'};

/** Collects messages of one session. */
export class BatchBuilder {
  private readonly prepared = new Map<string, Prepared>();
  /** Statement that the unnamed slot holds after the frames collected. */
  private loaded: string | undefined;
  private frames: Buffer[] = [];
  private texts: string[] = [];
  private messages: FrontendMessage['type'][] = [];
  private parseVisible: boolean[] = [];
  private sizeBytes = 0;

  private constructor(private readonly limits: BatchLimits) {}

  static create(limits: BatchLimits): BatchBuilder {
    return new BatchBuilder(limits);
  }

  /** Forgets every prepared statement. */
  discardStatements(): void {
    this.prepared.clear();
    this.loaded = undefined;
  }

  /** Adds one message; a boundary completes the batch. */
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
        this.loaded = undefined;
        return this.append(message.unnamedFrame);
      default:
        return this.append(message.frame);
    }
  }

  private addParse(
    message: Extract<FrontendMessage, {type: 'parse'}>,
  ): AddResult {
    const {name, text, unnamedFrame} = message;
    // Copied: a slice would keep the whole received chunk alive.
    this.prepared.set(name, {text, unnamedFrame: Buffer.from(unnamedFrame)});
    if (this.prepared.size > this.limits.maxStatements) {
      return {kind: 'overLimit'};
    }
    this.load(name, text, unnamedFrame, true);
    return this.checkSize();
  }

  private addUse(message: {name: string; unnamedFrame: Buffer}): AddResult {
    const known = this.prepared.get(message.name);
    if (!known) return {kind: 'unknownStatement', name: message.name};
    if (this.loaded !== message.name) {
      this.load(message.name, known.text, known.unnamedFrame, false);
    }
    return this.append(message.unnamedFrame);
  }

  private load(
    name: string,
    text: string,
    unnamedFrame: Buffer,
    visible: boolean,
  ): void {
    this.loaded = name;
    this.texts.push(text);
    this.parseVisible.push(visible);
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
    // After a boundary the next frames may run on another connection.
    this.loaded = undefined;
    return {kind: 'batch', batch};
  }
}
