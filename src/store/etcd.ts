/** Adapter to etcd v3's published HTTP/JSON gateway. */
import {err, ok, ResultAsync} from 'neverthrow';
import {Observable} from 'rxjs';
import {Agent, request} from 'undici';
import {Store, StoreError, VersionedValue} from './store.js';

interface KeyValue {
  readonly key: string;
  readonly value?: string;
  readonly mod_revision?: string;
}

interface RangeAnswer {
  readonly kvs?: KeyValue[];
}

interface TxnAnswer {
  readonly succeeded?: boolean;
  readonly header: {readonly revision: string};
}

interface WatchAnswer {
  readonly result?: {
    readonly created?: boolean;
    readonly events?: {type?: string; kv: KeyValue}[];
  };
}

const encode = (text: string): string => Buffer.from(text).toString('base64');
const decode = (text: string | undefined): string =>
  Buffer.from(text ?? '', 'base64').toString('utf8');

const ABSENT: VersionedValue = {value: '', revision: 0};

const versioned = (kv: KeyValue | undefined): VersionedValue =>
  kv
    ? {value: decode(kv.value), revision: Number(kv.mod_revision ?? 0)}
    : ABSENT;

/** Settings of the adapter. */
export interface EtcdOptions {
  readonly url: string;
  readonly timeoutMs: number;
}

/** The platform's store, spoken to over HTTP. */
export class EtcdStore implements Store {
  private readonly agent = new Agent({connections: 8, pipelining: 1});

  private constructor(private readonly options: EtcdOptions) {}

  static create(options: EtcdOptions): EtcdStore {
    return new EtcdStore(options);
  }

  read(key: string): ResultAsync<VersionedValue, StoreError> {
    return this.call<RangeAnswer>('/v3/kv/range', {key: encode(key)}).map(
      answer => versioned(answer.kvs?.[0]),
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
          key: encode(key),
          target: 'MOD',
          result: 'EQUAL',
          mod_revision: String(revision),
        },
      ],
      success: [{request_put: {key: encode(key), value: encode(value)}}],
    };
    return this.call<TxnAnswer>('/v3/kv/txn', body).andThen(answer =>
      answer.succeeded
        ? ok(Number(answer.header.revision))
        : err<number, StoreError>({
            kind: 'conflict',
            message: `${key} has moved`,
          }),
    );
  }

  watch(key: string): Observable<VersionedValue> {
    return new Observable(subscriber => {
      const stop = new AbortController();
      const create = {create_request: {key: encode(key)}};
      const emit = (value: VersionedValue): void => subscriber.next(value);
      const onLine = (line: string): void => {
        const answer = JSON.parse(line) as WatchAnswer;
        if (answer.result?.created) void this.read(key).map(emit);
        emitEvents(answer, emit);
      };
      this.stream('/v3/watch', create, stop.signal, onLine).then(
        () => subscriber.error(new Error('watch ended')),
        error => subscriber.error(error),
      );
      return () => stop.abort();
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
      throw new Error(`platform answered ${response.statusCode}`);
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
    let rest = '';
    for await (const chunk of response.body) {
      const lines = (rest + String(chunk)).split('\n');
      rest = lines.pop() ?? '';
      lines.filter(Boolean).forEach(onLine);
    }
  }
}

function emitEvents(
  answer: WatchAnswer,
  emit: (value: VersionedValue) => void,
): void {
  for (const event of answer.result?.events ?? []) {
    emit(event.type === 'DELETE' ? ABSENT : versioned(event.kv));
  }
}
