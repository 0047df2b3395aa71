/** Client of the operator port of a proxy. */
import {request} from 'undici';
import {ExitCode} from './main.js';

/** URL of an operator port and the key of the operator. */
export interface OperatorOptions {
  readonly url: string;
  readonly key: string;
}

/** Result of a call and the exit code for it. */
export type OperatorResponse =
  | {readonly exitCode: 0; readonly body: object}
  | {readonly exitCode: Exclude<ExitCode, 0>; readonly message: string};

const HEADERS_TIMEOUT_MS = 15_000;

/** Sends one request to an operator port, with `body` as JSON. */
export async function callOperator(
  options: OperatorOptions,
  method: 'GET' | 'POST',
  path: string,
  body?: object,
): Promise<OperatorResponse> {
  try {
    const response = await request(options.url + path, {
      method,
      headers: {authorization: `Bearer ${options.key}`},
      body: body === undefined ? undefined : JSON.stringify(body),
      headersTimeout: HEADERS_TIMEOUT_MS,
    });
    const responseBody = (await response.body.json()) as {error?: string};
    if (response.statusCode < 300) return {exitCode: 0, body: responseBody};
    const message = responseBody.error ?? `status ${response.statusCode}`;
    return {exitCode: exitCodeOf(response.statusCode), message};
  } catch (error) {
    const message = `call to --url '${options.url}' failed: ${(error as Error).message}`;
    return {exitCode: ExitCode.unavailable, message};
  }
}

function exitCodeOf(status: number): Exclude<ExitCode, 0> {
  switch (status) {
    case 400:
    case 404:
      return ExitCode.usage;
    case 409:
      return ExitCode.conflict;
    case 503:
      return ExitCode.unavailable;
    default:
      return ExitCode.failed;
  }
}
