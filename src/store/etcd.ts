/** Implements `Store` with the HTTP/JSON gateway of etcd v3. */
import {err, ok, ResultAsync} from 'neverthrow';
import {Observable} from 'rxjs';
import {Agent, request} from 'undici';
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
const fromBase64 = (text: string | undefined): string =>
  Buffer.from(text ?? '', 'base64').toString('utf8');

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
    return this.call<RangeResponse>('/v3/kv/range', {key: toBase64(key)}).map(
      response => toVersionedValue(response.kvs?.[0]),
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
    return this.call<TxnResponse>('/v3/kv/txn', body).andThen(response =>
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

  private call<T>(path: string, body: unknown): ResultAsync<T, StoreError> {
    return ResultAsync.fromPromise(this.post<T>(path, body), error => ({
      kind: 'unavailable',
      message: (error as Error).message,
    }));
  }

  private async post<T>(path: string, body: unknown): Promise<T> {
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
    return (await response.body.json()) as T;
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
    for await (const chunk of response.body) {
      const lines = (partialLine + String(chunk)).split('\n');
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
