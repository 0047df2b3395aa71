/**
 * Collects the log lines about one request, transaction, lane or connection
 * from the logs of several fronts.
 */
import {readFileSync} from 'node:fs';
import {err, ok, Result} from 'neverthrow';
import {parseLaneName} from '../core/lanes.js';

/** The JSON object of a log line. */
export type LogLine = Readonly<Record<string, unknown>>;

/** What an id in the logs can name. */
export const LogSubject = {
  request: 'request',
  transaction: 'transaction',
  lane: 'lane',
  connection: 'connection',
} as const;
export type LogSubject = (typeof LogSubject)[keyof typeof LogSubject];

/** The lines about one id, in order of time. */
export interface Explanation {
  readonly id: string;
  readonly subject: LogSubject;
  readonly lines: readonly LogLine[];
  /** Ids of the transactions that the lines belong to. */
  readonly transactions: readonly string[];
}

/** Fields that contain the id of a subject. */
const FIELDS: Readonly<Record<LogSubject, readonly string[]>> = {
  request: ['request'],
  transaction: ['transaction'],
  lane: ['lane'],
  connection: ['connection', 'originConnection'],
};
/** Fields omitted from the details; time, VM and event precede the details. */
const OMITTED_FIELDS = new Set(['time', 'steadyMs', 'vm', 'event']);
/** Fields that name a front which takes part in a transaction. */
const FRONT_FIELDS = ['vm', 'holder', 'origin'];
/** Events about a front's process and its connections to other fronts. */
const PROCESS_EVENTS = new Set([
  'started',
  'stopping',
  'peer_accepted',
  'peer_connected',
  'peer_lost',
  'peer_gone',
]);
/** Events after which a front uses other connections to a database. */
const DATABASE_EVENTS = new Set([
  'database_listed',
  'database_unlisted',
  'database_lost',
]);

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

/**
 * Returns the lines about an id from the texts of several logs; undefined if no
 * line contains it. For a transaction, they include what happened meanwhile to
 * the processes and to the database that took part in it.
 */
export function explain(
  id: string,
  texts: readonly string[],
): Explanation | undefined {
  const candidates = selectLines(texts, text =>
    text.includes(parseLaneName(id).lane),
  );
  for (const subject of Object.values(LogSubject)) {
    const lines = sortByTime(
      candidates.filter(line => isAbout(line, subject, id)),
    );
    if (lines.length === 0) continue;
    const transactions = new Set(
      lines.flatMap(({transaction}) =>
        transaction === undefined ? [] : [String(transaction)],
      ),
    );
    const circumstances =
      subject === LogSubject.transaction
        ? selectCircumstances(lines, texts)
        : [];
    return {
      id,
      subject,
      lines: sortByTime([...lines, ...circumstances]),
      transactions: [...transactions],
    };
  }
  return undefined;
}

/**
 * Formats a line for display: time, VM, event and details other than the id
 * that all lines are about.
 */
export function formatLogLine(line: LogLine, id: string): string {
  const details = Object.entries(line)
    .filter(
      ([name, value]) =>
        !OMITTED_FIELDS.has(name) && value !== id && value !== undefined,
    )
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  return `${String(line.time)} ${String(line.vm)}: ${String(line.event)} ${details.join(' ')}`;
}

const formatValue = (value: unknown): string =>
  typeof value === 'string' ? value : JSON.stringify(value);

/** Formats the lines for display; the last ones name the transactions. */
export function formatExplanation(explanation: Explanation): string[] {
  const {id, subject, lines, transactions} = explanation;
  const formatted = lines.map(line => formatLogLine(line, id));
  if (subject === LogSubject.transaction) return formatted;
  return [...formatted, ...transactions.map(id => `in transaction ${id}`)];
}

/** Explains an id from log files; an error names the files. */
export function explainFromFiles(
  id: string,
  files: readonly string[],
): Result<Explanation, string> {
  const texts: string[] = [];
  for (const file of files) {
    try {
      texts.push(readFileSync(file, 'utf8'));
    } catch (error) {
      return err(`${file}: ${(error as Error).message}`);
    }
  }
  const explanation = explain(id, texts);
  return explanation
    ? ok(explanation)
    : err(
        `no request, transaction, lane or connection ${id} in ${files.join(', ')}`,
      );
}

/** Parses those lines whose text satisfies a condition. */
function selectLines(
  texts: readonly string[],
  mayMatch: (text: string) => boolean,
): LogLine[] {
  return texts
    .flatMap(text => text.split('\n').filter(mayMatch))
    .map(parseLogLine)
    .filter((line): line is LogLine => line !== undefined);
}

function isAbout(line: LogLine, subject: LogSubject, id: string): boolean {
  if (subject !== LogSubject.lane)
    return FIELDS[subject].some(name => line[name] === id);
  return (
    typeof line.lane === 'string' && isSameLane(line.lane, String(line.vm), id)
  );
}

/**
 * Whether a line's lane is the given one. The caller's front logs the holder's
 * name with the lane, the holder logs the lane alone; an id may have either
 * form.
 */
function isSameLane(name: string, vm: string, id: string): boolean {
  const logged = parseLaneName(name);
  const wanted = parseLaneName(id);
  if (logged.lane !== wanted.lane) return false;
  return wanted.holder === '' || wanted.holder === (logged.holder || vm);
}

/**
 * Returns the lines about the processes, the links between them and the
 * databases of a transaction, from its first line to its last.
 */
function selectCircumstances(
  lines: readonly LogLine[],
  texts: readonly string[],
): LogLine[] {
  const times = lines.map(line => String(line.time)).sort();
  const [first, last] = [times[0], times[times.length - 1]];
  const valuesOf = (names: readonly string[]): Set<unknown> =>
    new Set(lines.flatMap(line => names.map(name => line[name])));
  const fronts = valuesOf(FRONT_FIELDS);
  const databases = valuesOf(['database']);
  const events = [...PROCESS_EVENTS, ...DATABASE_EVENTS];
  const mayMatch = (text: string): boolean =>
    events.some(event => text.includes(`"${event}"`));
  return selectLines(texts, mayMatch).filter(line => {
    const time = String(line.time);
    if (time < first || time > last || !fronts.has(line.vm)) return false;
    if (DATABASE_EVENTS.has(String(line.event)))
      return databases.has(line.database);
    if (!PROCESS_EVENTS.has(String(line.event))) return false;
    return line.peer === undefined || fronts.has(line.peer);
  });
}

/** Sorts by time; lines of the same time keep their order. */
const sortByTime = (lines: readonly LogLine[]): LogLine[] =>
  [...lines].sort((a, b) =>
    a.time === b.time ? 0 : String(a.time) < String(b.time) ? -1 : 1,
  );
