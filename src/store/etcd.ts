/** Implements `Store` with the HTTP/JSON gateway of etcd v3. */
import {err, ok, ResultAsync} from 'neverthrow';
import {Observable} from 'rxjs';
import {Agent, request} from 'undici';
import {decodeUtf8, parseBase64, parseJson} from '../core/documents.js';
import {Store, StoreError, VersionedValue} from './store.js';

interface KeyValue {
  readonly key: string;
  readonly value?: string;
  readonly mod_revision?: string;
}

interface RangeResponse {
  readonly kvs?: KeyValue[];
}

interface TxnResponse {
  readonly succeeded?: boolean;
  readonly header: {readonly revision: string};
}

interface WatchResponse {
  readonly result?: {
    readonly created?: boolean;
    readonly events?: {type?: string; kv: KeyValue}[];
  };
}

const toBase64 = (text: string): string => Buffer.from(text).toString('base64');
/** Decodes a text; throws for a value that is none. */
function fromBase64(text = ''): string {
  const bytes = parseBase64(text);
  if (!bytes) throw new SyntaxError('not base64');
  return decodeUtf8(bytes);
}

/** The value of a key that does not exist. */
const ABSENT: VersionedValue = {value: '', revision: 0};

const toVersionedValue = (kv: KeyValue | undefined): VersionedValue =>
  kv
    ? {value: fromBase64(kv.value), revision: Number(kv.mod_revision ?? 0)}
    : ABSENT;

export interface EtcdOptions {
  readonly url: string;
  /** Time limit of a call; a watch has none. */
  readonly timeoutMs: number;
}

/** Client of the platform's key-value service over HTTP. */
export class EtcdStore implements Store {
  private readonly agent = new Agent({connections: 8, pipelining: 1});

  private constructor(private readonly options: EtcdOptions) {}

  static create(options: EtcdOptions): EtcdStore {
    return new EtcdStore(options);
  }

  read(key: string): ResultAsync<VersionedValue, StoreError> {
    return this.call('/v3/kv/range', {key: toBase64(key)}, (body: unknown) =>
      toVersionedValue((body as RangeResponse).kvs?.[0]),
    );
  }

  compareAndSet(
    key: string,
    revision: number,
    value: string,
  ): ResultAsync<number, StoreError> {
    const body = {
      compare: [
        {
          key: toBase64(key),
          target: 'MOD',
          result: 'EQUAL',
          mod_revision: String(revision),
        },
      ],
      success: [{request_put: {key: toBase64(key), value: toBase64(value)}}],
    };
    const decode = (response: unknown): TxnResponse => response as TxnResponse;
    return this.call('/v3/kv/txn', body, decode).andThen(response =>
      response.succeeded
        ? ok(Number(response.header.revision))
        : err<number, StoreError>({
            kind: 'conflict',
            message: `${key} is no longer at the expected revision`,
          }),
    );
  }

  watch(key: string): Observable<VersionedValue> {
    return new Observable(subscriber => {
      const abortController = new AbortController();
      const createRequest = {create_request: {key: toBase64(key)}};
      const emit = (value: VersionedValue): void => subscriber.next(value);
      const onLine = (line: string): void => {
        const response = JSON.parse(line) as WatchResponse;
        if (response.result?.created) void this.read(key).map(emit);
        emitEvents(response, emit);
      };
      this.stream(
        '/v3/watch',
        createRequest,
        abortController.signal,
        onLine,
      ).then(
        () => subscriber.error(new Error('the platform ended the watch')),
        error => subscriber.error(error),
      );
      return () => abortController.abort();
    });
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  /** Posts a body and decodes the response; `decode` may throw. */
  private call<T>(
    path: string,
    body: unknown,
    decode: (response: unknown) => T,
  ): ResultAsync<T, StoreError> {
    const response = this.post(path, body).then(decode);
    return ResultAsync.fromPromise(response, error => ({
      kind: 'unavailable',
      message: (error as Error).message,
    }));
  }

  private async post(path: string, body: unknown): Promise<unknown> {
    const signal = AbortSignal.timeout(this.options.timeoutMs);
    const response = await request(this.options.url + path, {
      method: 'POST',
      body: JSON.stringify(body),
      dispatcher: this.agent,
      signal,
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      throw new Error(`platform responded with status ${response.statusCode}`);
    }
    return parseJson(Buffer.from(await response.body.arrayBuffer()));
  }

  private async stream(
    path: string,
    body: unknown,
    signal: AbortSignal,
    onLine: (line: string) => void,
  ): Promise<void> {
    const response = await request(this.options.url + path, {
      method: 'POST',
      body: JSON.stringify(body),
      dispatcher: this.agent,
      signal,
      bodyTimeout: 0,
    });
    let partialLine = '';
    // Characters may be cut in two.
    for await (const text of response.body.setEncoding('utf8')) {
      const lines = (partialLine + String(text)).split('\n');
      partialLine = lines.pop() ?? '';
      lines.filter(Boolean).forEach(onLine);
    }
  }
}

function emitEvents(
  response: WatchResponse,
  emit: (value: VersionedValue) => void,
): void {
  for (const event of response.result?.events ?? []) {
    emit(event.type === 'DELETE' ? ABSENT : toVersionedValue(event.kv));
  }
}
