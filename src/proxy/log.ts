/** Structured logs through `debug`, one JSON line per event. */
import createDebug from 'debug';

/** Writes one event with its fields. */
export type Log = (event: string, fields?: object) => void;

/** Creates the log of one component; it writes to standard error. */
export function createLog(component: string, vm: string): Log {
  const write = createDebug(`mustardpass:${component}`);
  write.log = (line: unknown) => process.stderr.write(`${String(line)}\n`);
  // Without colors; `formatArgs` below removes the prefix that `debug` adds.
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
// Keeps `debug` from adding the namespace and the time to the JSON object.
(createDebug as unknown as {formatArgs: (args: unknown[]) => void}).formatArgs =
  () => undefined;

/** Enables the logs of some components, such as `proxy,failover` or `*`. */
export function enableLogs(components: string): void {
  const names = components.split(',').filter(Boolean);
  createDebug.enable(names.map(name => `mustardpass:${name}`).join(','));
}
