/** A stand-in client: one operation a session, repeated as the pages allow. */
import {connect} from 'node:net';

const DEADLINE_MS = 4_000;
const RETRIES = 2;
const READY_MS = 2_000;
const PROMISES = ['BUSY', 'ABORTED', 'LAGGING', 'READONLY', 'MISROUTED', 'TOOMANY'];

/** One attempt on a session of its own; resolves to an outcome. */
function attempt({host, port}, texts, idOf, untilMs, record) {
  return new Promise(resolve => {
    const socket = connect({host, port});
    let buffered = '';
    let index = -1;
    let result = '';
    let isOver = false;
    const finish = outcome => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      clearTimeout(startTimer);
      socket.destroy();
      resolve(outcome);
    };
    const lost = () => finish(isAsked() ? 'unknown' : 'again');
    // Whether the COMMIT or the single write was sent.
    const isAsked = () => index >= 0 && /^(COMMIT|WRITE)/.test(texts[index]) && index === texts.length - 1;
    const timer = setTimeout(lost, Math.max(1, untilMs - performance.now()));
    const startTimer = setTimeout(() => index < 0 && finish('again'), READY_MS);
    socket.on('error', lost);
    socket.on('close', lost);
    socket.on('connect', () => socket.write('START primary ana-key\r\n'));
    socket.on('data', chunk => {
      const lines = (buffered + chunk.toString('latin1')).split('\r\n');
      buffered = lines.pop();
      for (const line of lines) {
        const [word, ...rest] = line.split(' ');
        if (word === 'ERROR' && index < 0) return finish('again');
        if (word === 'DONE') result = 'DONE';
        if (word === 'ERROR') result = rest[0];
        if (word !== 'READY') continue;
        if (index >= 0) {
          record({id: idOf(index), answered: result});
          if (PROMISES.includes(result)) return finish('again');
          if (result !== 'DONE') return lost();
        }
        if (++index === texts.length) return finish('served');
        record({id: idOf(index), sent: texts[index]});
        socket.write(`QUERY ${idOf(index)} ${texts[index]}\r\n`);
      }
    });
  });
}

/** Runs an operation; resolves to whether it was served in time. */
export async function operate(fronts, number, texts, record) {
  const untilMs = performance.now() + DEADLINE_MS;
  for (let tries = 0; tries <= RETRIES; tries++) {
    if (performance.now() >= untilMs) return false;
    const front = fronts[(number + tries) % fronts.length];
    const idOf = index => `q${number}.${tries}.${index}`;
    const outcome = await attempt(front, texts, idOf, untilMs, record);
    if (outcome === 'served') return true;
    if (outcome === 'unknown') return false;
    await new Promise(done => setTimeout(done, 250));
  }
  return false;
}
