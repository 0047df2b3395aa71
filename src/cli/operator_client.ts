/** Calls a proxy's operators' port. */
import {request} from 'undici';
import {ExitCode} from './main.js';

/** Which proxy to call, and as whom. */
export interface OperatorOptions {
  readonly url: string;
  readonly key: string;
}

/** An answer, with the exit code it means. */
export type OperatorAnswer =
  | {readonly exitCode: 0; readonly body: object}
  | {readonly exitCode: Exclude<ExitCode, 0>; readonly problem: string};

const TIMEOUT_MS = 15_000;

/** Calls one operation. */
export async function callOperator(
  options: OperatorOptions,
  method: 'GET' | 'POST',
  path: string,
  body?: object,
): Promise<OperatorAnswer> {
  try {
    const response = await request(options.url + path, {
      method,
      headers: {authorization: `Bearer ${options.key}`},
      body: body === undefined ? undefined : JSON.stringify(body),
      headersTimeout: TIMEOUT_MS,
    });
    const answer = (await response.body.json()) as {error?: string};
    if (response.statusCode < 300) return {exitCode: 0, body: answer};
    const problem = answer.error ?? `status ${response.statusCode}`;
    return {exitCode: exitCodeOf(response.statusCode), problem};
  } catch (error) {
    const problem = `--url is '${options.url}': ${(error as Error).message}`;
    return {exitCode: ExitCode.unavailable, problem};
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
