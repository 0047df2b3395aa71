/** Tells one request's story from the log lines of several processes. */
import {readFileSync} from 'node:fs';
import {err, ok, Result} from 'neverthrow';

/** One log line. */
export type LogLine = Readonly<Record<string, unknown>>;

/** Fields that every line has, or that the sentence shows by itself. */
const SHOWN_APART = new Set(['time', 'steadyMs', 'vm', 'event', 'request']);

/** Reads the JSON object of a line; what stands before it is passed over. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const line = JSON.parse(text.slice(start)) as LogLine;
    return typeof line.event === 'string' ? line : undefined;
  } catch {
    // Not a line of ours, or cut off: other lines tell the rest.
    return undefined;
  }
}

/** Lines that concern a request, in the order of their time. */
export function selectRequestLines(
  requestId: string,
  texts: readonly string[],
): LogLine[] {
  return texts
    .flatMap(text => text.split('\n'))
    .filter(text => text.includes(requestId))
    .map(parseLogLine)
    .filter((line): line is LogLine => line?.request === requestId)
    .sort((a, b) => (String(a.time) < String(b.time) ? -1 : 1));
}

/** One line as a sentence for people. */
export function formatLogLine(line: LogLine): string {
  const details = Object.entries(line)
    .filter(([name, value]) => !SHOWN_APART.has(name) && value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`);
  return `${String(line.time)} ${String(line.vm)}: ${String(line.event)} ${details.join(' ')}`;
}

/** Reads the files and finds the request's lines; the error names the file. */
export function readRequestLines(
  requestId: string,
  files: readonly string[],
): Result<LogLine[], string> {
  const texts: string[] = [];
  for (const file of files) {
    try {
      texts.push(readFileSync(file, 'utf8'));
    } catch (error) {
      return err(`${file}: ${(error as Error).message}`);
    }
  }
  const lines = selectRequestLines(requestId, texts);
  return lines.length > 0
    ? ok(lines)
    : err(`no line of request ${requestId} in ${files.join(', ')}`);
}
