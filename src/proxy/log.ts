/** Structured logs: one JSON line an event, through `debug`. */
import createDebug from 'debug';

/** Writes one event with its fields. */
export type Log = (event: string, fields?: object) => void;

/** Creates the log of one component. Lines go to standard error. */
export function createLog(component: string, vm: string): Log {
  const write = createDebug(`mustardpass:${component}`);
  write.log = (line: unknown) => process.stderr.write(`${String(line)}\n`);
  // `debug` prefixes its namespace; the formatter below replaces the line.
  (write as {useColors?: boolean}).useColors = false;
  return (event, fields = {}) => {
    if (!write.enabled) return;
    write('%J', {
      time: new Date().toISOString(),
      vm,
      component,
      event,
      ...fields,
    });
  };
}

createDebug.formatters.J = (value: unknown): string => JSON.stringify(value);
// A line is the JSON object alone, without the namespace or a time before it.
(createDebug as unknown as {formatArgs: (args: unknown[]) => void}).formatArgs =
  () => undefined;

/** Chooses which components log, such as `proxy,failover` or `*`. */
export function enableLogs(components: string): void {
  const names = components.split(',').filter(Boolean);
  createDebug.enable(names.map(name => `mustardpass:${name}`).join(','));
}
