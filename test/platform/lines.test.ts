/**
 * Lines of the platform's wire protocol: what is written is read back the same,
 * over any bytes and cut anywhere, and what the format cannot carry is refused.
 */
import {fc, testProp} from '@fast-check/ava';
import test from 'ava';
import {formatLine, LineReader, MAX_LINE_BYTES} from '../../platform/lines.js';

const SEED = 47;
const NUMBER_OF_RUNS = 1_000;
const OPTIONS = {seed: SEED, numRuns: NUMBER_OF_RUNS};
const TOO_LONG = Symbol('too long');
const LONGEST = MAX_LINE_BYTES - 2;

/** Bytes as text, with line ends and blanks more often than by chance. */
const byteText = fc
  .array(
    fc.oneof(
      fc.constantFrom('\r', '\n', ' ', '\0', '\x85', '\xa0', 'Q'),
      fc.integer({min: 0, max: 255}).map(byte => String.fromCharCode(byte)),
    ),
    {maxLength: 12},
  )
  .map(characters => characters.join(''));

const cuts = fc.array(fc.integer({min: 1, max: 7}), {minLength: 1});

/** Reads bytes in pieces of the given sizes, which repeat. */
function readInPieces(bytes: Buffer, sizes: readonly number[]) {
  const found: Array<string | typeof TOO_LONG> = [];
  const reader = LineReader.create({
    onLine: line => found.push(line),
    onTooLong: () => found.push(TOO_LONG),
  });
  for (let at = 0, n = 0; at < bytes.length; n++) {
    const size = sizes[n % sizes.length];
    reader.push(bytes.subarray(at, at + size));
    at += size;
  }
  return found;
}

const latin1 = (text: string): Buffer => Buffer.from(text, 'latin1');

// Guards against statements that end at a line feed, and against answers that
// are cut into two (review/6).
testProp(
  'what is written as lines is read back the same, cut anywhere',
  [fc.array(fc.tuple(fc.array(byteText), byteText), {maxLength: 6}), cuts],
  (t, messages, sizes) => {
    const written = messages.flatMap(([words, last]) => {
      const line = formatLine(['QUERY', ...words], last);
      const fields = ['QUERY', ...words, last];
      const isRepresentable =
        words.every(word => word !== '' && !word.includes(' ')) &&
        !fields.join(' ').includes('\r\n');
      t.is(line.isOk(), isRepresentable, JSON.stringify(fields));
      return line.isOk() ? [{line: line.value, fields}] : [];
    });
    const bytes = latin1(written.map(({line}) => line).join(''));
    const lines = readInPieces(bytes, sizes);
    t.deepEqual(
      lines,
      written.map(({fields}) => fields.join(' ')),
    );
    for (const [index, {fields}] of written.entries()) {
      // All fields but the last are words, so the blanks tell them apart.
      const parts = String(lines[index]).split(' ');
      const words = parts.slice(0, fields.length - 1);
      t.deepEqual(words, fields.slice(0, -1));
      const lastField = parts.slice(fields.length - 1).join(' ');
      t.is(lastField, fields[fields.length - 1]);
    }
  },
  OPTIONS,
);

testProp(
  'any bytes are read as the same lines, however they are cut',
  [fc.array(byteText), cuts],
  (t, texts, sizes) => {
    const bytes = latin1(texts.join(''));
    const lines = bytes.toString('latin1').split('\r\n').slice(0, -1);
    t.deepEqual(readInPieces(bytes, sizes), lines);
  },
  OPTIONS,
);

testProp(
  'a character that is no byte is refused',
  [byteText, fc.integer({min: 0x100, max: 0xffff}), byteText],
  (t, before, code, after) => {
    const text = before + String.fromCharCode(code) + after;
    t.true(formatLine(['QUERY', 'q1'], text).isErr());
    t.true(formatLine(['QUERY', text], '').isErr());
  },
  OPTIONS,
);

// Guards against a limit that depends on how the bytes arrive, and against a
// line that is lost because the end of a skipped one was cut in two.
test('the limit of a line is the same however it is cut', t => {
  const cutSizes = [[LONGEST + 100], [65_536], [LONGEST], [LONGEST + 1]];
  for (const sizes of [
    ...cutSizes,
    [LONGEST + 2],
    [LONGEST + 3],
    [1_048_577],
  ]) {
    for (const excessBytes of [-1, 0, 1, 2, 70_000]) {
      const line = 'x'.repeat(LONGEST + excessBytes);
      const expected = excessBytes > 0 ? TOO_LONG : line;
      const bytes = latin1(`BEFORE\r\n${line}\r\nAFTER\r\n`);
      const found = readInPieces(bytes, sizes);
      t.true(
        found.length === 3 && found[1] === expected && found[2] === 'AFTER',
        `${excessBytes} ${sizes[0]}`,
      );
    }
  }
});

test('a line is written up to the length that is read', t => {
  const textBytes = LONGEST - 'QUERY q1 '.length;
  t.true(formatLine(['QUERY', 'q1'], 'x'.repeat(textBytes)).isOk());
  const refused = formatLine(['QUERY', 'q1'], 'x'.repeat(textBytes + 1));
  t.regex(refused._unsafeUnwrapErr(), /1048577 of 1048576 bytes/);
});
