/** Collects the log lines of one request from the logs of several processes. */
import {readFileSync} from 'node:fs';
import {err, ok, Result} from 'neverthrow';

/** The JSON object of a log line. */
export type LogLine = Readonly<Record<string, unknown>>;

/** Fields omitted from the details; time, VM and event precede the details. */
const OMITTED_FIELDS = new Set(['time', 'steadyMs', 'vm', 'event', 'request']);

/** Parses the JSON object in a line, ignoring any text in front of it. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  try {
    const line = JSON.parse(text.slice(start)) as LogLine;
    return typeof line.event === 'string' ? line : undefined;
  } catch {
    // A line of another program or a truncated line is skipped.
    return undefined;
  }
}

/** Returns the lines of a request in order of time. */
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

/** Formats a line for display: time, VM, event and details. */
export function formatLogLine(line: LogLine): string {
  const details = Object.entries(line)
    .filter(([name, value]) => !OMITTED_FIELDS.has(name) && value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`);
  return `${String(line.time)} ${String(line.vm)}: ${String(line.event)} ${details.join(' ')}`;
}

/** Reads the lines of a request from files; an error names the files. */
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
