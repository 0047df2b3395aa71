/** Messages between fronts: each is read back as it was sent, or not sent. */
import {Socket} from 'node:net';
import {fc, testProp} from '@fast-check/ava';
import {Packr} from 'msgpackr';
import {maxEncodedBytes} from '../../src/front/message_size.js';
import {
  createProof,
  decodeHello,
  openChannel,
} from '../../src/front/peer_protocol.js';

const SEED = 47;

/** A channel on a socket that is not connected; `sent` are the bytes written. */
function createTestChannel() {
  const sent: Buffer[] = [];
  const received: unknown[] = [];
  const socket = new Socket();
  socket.on('error', () => undefined);
  socket.write = (chunk: string | Uint8Array): boolean => {
    sent.push(Buffer.from(chunk as Uint8Array));
    return true;
  };
  const channel = openChannel(socket, message => received.push(message));
  return {
    channel,
    received,
    socket,
    takeSent: () => Buffer.concat(sent.splice(0)),
  };
}

const byteText = fc
  .array(fc.integer({min: 0, max: 255}), {maxLength: 70})
  .map(bytes => String.fromCharCode(...bytes));
const text = fc.oneof(byteText, fc.string({unit: 'grapheme'}));
const optional = <T>(value: fc.Arbitrary<T>) =>
  fc.option(value, {nil: undefined});
/** Messages with the kinds of fields of work and replies. */
const message = fc.record(
  {
    id: fc.nat(),
    text,
    rows: fc.array(text),
    values: fc.array(fc.tuple(text, text), {maxLength: 4}),
    lane: optional(text),
    after: optional(fc.record({term: fc.nat(), offset: fc.maxSafeNat()})),
    // No field tells 0 and -0 apart.
    budgetMs: fc.double({noNaN: true}).map(value => value + 0),
    value: fc.uint8Array().map(bytes => Buffer.from(bytes)),
    ok: fc.boolean(),
  },
  {requiredKeys: ['id']},
);

testProp(
  'the size of a message is never underestimated',
  [message],
  (t, sent) => {
    const bytes = new Packr().pack(sent).length;
    t.true(bytes <= maxEncodedBytes(sent));
  },
  {seed: SEED, numRuns: 1_000},
);

testProp(
  'messages are read as they were sent, cut anywhere',
  [
    fc.array(message, {maxLength: 8}),
    fc.array(fc.integer({min: 1, max: 40}), {minLength: 1}),
  ],
  (t, messages, sizes) => {
    const sender = createTestChannel();
    const receiver = createTestChannel();
    for (const each of messages) sender.channel.send(each);
    const bytes = sender.takeSent();
    for (let at = 0, n = 0; at < bytes.length; n++) {
      const size = sizes[n % sizes.length];
      receiver.socket.emit('data', bytes.subarray(at, at + size));
      at += size;
    }
    t.deepEqual(receiver.received, messages);
    t.false(receiver.socket.destroyed);
  },
  {seed: SEED, numRuns: 1_000},
);

// Guards against a proof of one pair of names that is also one of another pair.
testProp(
  'a proof is for one pair of names',
  [fc.string(), fc.string(), fc.string()],
  (t, first, second, third) => {
    const pairs = [
      {from: first, to: `${second}\n${third}`},
      {from: `${first}\n${second}`, to: third},
    ];
    const proofs = pairs
      .filter(names => decodeHello({...names, proof: 'x'}) !== undefined)
      .map(({from, to}) => createProof('secret', 'n', from, to));
    t.is(new Set(proofs).size, proofs.length);
  },
  {seed: SEED, numRuns: 300},
);
