/**
 * The HTTP server for operators. All calls but `GET /health` need an operator's
 * key; customers' keys are rejected.
 */
import {timingSafeEqual} from 'node:crypto';
import {createServer, IncomingMessage, Server, ServerResponse} from 'node:http';
import {digestKey} from '../core/config.js';
import {parseJson, readAll} from '../core/documents.js';
import {IntentErrorKind, Intents} from './intents.js';

export interface OperatorServerOptions {
  readonly host: string;
  readonly port: number;
  /** Operators as `name:key`, comma-separated. */
  readonly operatorKeys: string;
  readonly intents: Intents;
  readonly isHealthy: () => boolean;
  readonly show: () => object;
  readonly dump: () => object;
  readonly drain: () => void;
  /** Called with a configuration that this server has confirmed. */
  readonly onConfirmed: (config: object) => void;
}

const MAX_BODY_BYTES = 1_000_000;

const STATUS_BY_ERROR: Record<IntentErrorKind, number> = {
  invalid: 400,
  moved: 409,
  unknown_plan: 404,
  platform_unavailable: 503,
};

interface HttpResponse {
  readonly status: number;
  readonly body: object;
}

/** An HTTP server for operators. */
export class OperatorServer {
  private readonly operators: readonly {name: string; digest: string}[];

  private constructor(
    private readonly server: Server,
    private readonly options: OperatorServerOptions,
  ) {
    this.operators = parseOperators(options.operatorKeys);
    server.on('request', (req, res) => void this.serve(req, res));
  }

  static async create(options: OperatorServerOptions): Promise<OperatorServer> {
    const server = createServer({requestTimeout: 10_000});
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(options.port, options.host, resolve);
    });
    return new OperatorServer(server, options);
  }

  get port(): number {
    const address = this.server.address();
    return typeof address === 'object' && address ? address.port : 0;
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private async serve(
    req: IncomingMessage,
    res: ServerResponse,
  ): Promise<void> {
    const answer = await this.route(req).catch((error: Error) => ({
      status: 400,
      body: {error: error.message},
    }));
    res.writeHead(answer.status, {'content-type': 'application/json'});
    res.end(JSON.stringify(answer.body) + '\n');
  }

  private async route(req: IncomingMessage): Promise<HttpResponse> {
    const path = `${req.method} ${req.url}`;
    if (path === 'GET /health') return this.health();
    const operator = this.operatorOf(req);
    if (!operator) return {status: 401, body: {error: 'operator key required'}};
    switch (path) {
      case 'GET /show':
        return {status: 200, body: this.options.show()};
      case 'GET /dump':
        return {status: 200, body: this.options.dump()};
      case 'POST /drain':
        this.options.drain();
        return {status: 202, body: {draining: true}};
      case 'POST /plan':
        return this.plan(await readJson(req), operator);
      case 'POST /confirm':
        return this.confirm(await readJson(req), operator);
      default:
        return {status: 404, body: {error: `no such call: ${path}`}};
    }
  }

  private health(): HttpResponse {
    return this.options.isHealthy()
      ? {status: 200, body: {status: 'ok'}}
      : {status: 503, body: {status: 'unavailable'}};
  }

  private operatorOf(req: IncomingMessage): string | undefined {
    const header = req.headers.authorization ?? '';
    const digest = Buffer.from(
      digestKey(header.replace(/^Bearer /, '')),
      'hex',
    );
    return this.operators.find(entry =>
      timingSafeEqual(Buffer.from(entry.digest, 'hex'), digest),
    )?.name;
  }

  private async plan(body: unknown, operator: string): Promise<HttpResponse> {
    const plan = await this.options.intents.plan(body, operator);
    return plan.isOk()
      ? {status: 200, body: plan.value}
      : {
          status: STATUS_BY_ERROR[plan.error.kind],
          body: {error: plan.error.message},
        };
  }

  private async confirm(
    body: unknown,
    operator: string,
  ): Promise<HttpResponse> {
    const planId = String((body as {planId?: unknown}).planId ?? '');
    const confirmed = await this.options.intents.confirm(planId, operator);
    if (confirmed.isErr()) {
      const {kind, message} = confirmed.error;
      return {status: STATUS_BY_ERROR[kind], body: {error: message}};
    }
    this.options.onConfirmed(confirmed.value.config);
    return {status: 200, body: {planId, version: confirmed.value.version}};
  }
}

const parseOperators = (text: string): {name: string; digest: string}[] =>
  text
    .split(',')
    .filter(entry => entry.includes(':'))
    .map(entry => {
      const separator = entry.indexOf(':');
      return {
        name: entry.slice(0, separator),
        digest: digestKey(entry.slice(separator + 1)),
      };
    });

async function readJson(req: IncomingMessage): Promise<unknown> {
  const bytes = await readAll(req, MAX_BODY_BYTES);
  if (!bytes) throw new Error('request is too large');
  return parseJson(bytes);
}
