/**
 * Codecs of the platform's formats, against the examples of its documentation
 * and by fuzzing.
 */
import test from 'ava';
import fc from 'fast-check';
import {decodeConfiguration} from '../../platform/configuration.js';
import {decodeDatabaseEntry} from '../../platform/directory.js';
import {parseSettings} from '../../platform/settings.js';
import {MAX_LINE_BYTES} from '../../platform/lines.js';
import {
  callerCodec,
  databaseCodec,
  parsePosition,
} from '../../platform/wire.js';
import {CallerAnswer} from '../../src/front/wire_types.js';

const callerMessages = (text: string) =>
  callerCodec.createDecoder().push(Buffer.from(text, 'latin1'));
const databaseMessages = (text: string) =>
  databaseCodec.createDecoder().push(Buffer.from(text, 'latin1'));

test('decodes a caller’s start message and statements', t => {
  t.deepEqual(callerMessages('START lepu270 u3f1\r\n'), [
    {kind: 'start', database: 'lepu270', key: 'u3f1'},
  ]);
  const [prepare] = callerMessages(
    'QUERY 5c0e7a21d94b36f8 PREPARE s1 WRITE q2c\r\n',
  );
  t.like(prepare, {
    kind: 'query',
    id: '5c0e7a21d94b36f8',
    text: 'PREPARE s1 WRITE q2c',
    statement: {
      kind: 'prepare',
      prepared: {name: 's1', access: 'write', shape: 'q2c'},
    },
  });
  const [execute] = callerMessages('QUERY 5c0e EXECUTE s1 1a4 xkqpwnzd\r\n');
  t.like(execute, {statement: {kind: 'execute', name: 's1'}});
});

test('encodes a statement unchanged except for the requested position', t => {
  t.is(
    databaseCodec
      .callerStatement('5c0e7a21d94b36f8', 'READ 1a4', {
        term: 3,
        offset: 1207,
      })
      ._unsafeUnwrap(),
    'QUERY 5c0e7a21d94b36f8 AFTER 3.1207 READ 1a4\r\n',
  );
  t.is(
    databaseCodec.start('huvo11a', 'tenant', 'i-7f3a91c2')._unsafeUnwrap(),
    'START huvo11a tenant i-7f3a91c2\r\n',
  );
});

test('decodes the replies of a database', t => {
  t.deepEqual(
    databaseMessages(
      'ROW qhzkwmtrbelo\r\nDONE 7.1f3.c.2b.90e1c4d2a7b3f655\r\nREADY I 3.1209\r\n',
    ),
    [
      {kind: 'row', data: 'qhzkwmtrbelo'},
      {kind: 'done', signature: '7.1f3.c.2b.90e1c4d2a7b3f655'},
      {kind: 'ready', state: 'idle', position: {term: 3, offset: 1209}},
    ],
  );
  t.deepEqual(
    databaseMessages('ERROR READONLY i-7f3a91c2\r\nREADY E 3.1209\r\n'),
    [
      {kind: 'error', fault: 'read_only', text: 'i-7f3a91c2'},
      {kind: 'ready', state: 'failed', position: {term: 3, offset: 1209}},
    ],
  );
  t.deepEqual(databaseCodec.parseReport('replica 3 3.1209 0 12 2 17'), {
    isLeader: false,
    term: 3,
    primaryTerm: 3,
    pausedAtTerm: 0,
    position: {term: 3, offset: 1209},
  });
  const paused = databaseCodec.parseReport('replica 3 2.90 4 12 2 17');
  t.is(paused?.term, 4);
  t.is(paused?.primaryTerm, 3);
  t.is(paused?.pausedAtTerm, 4);
  t.is(databaseCodec.parseReport('replica 3 2.90 -')?.pausedAtTerm, 0);
});

// Guards against answers with the code undefined: names that every object has
// were found in the table of codes.
test('an error with an unknown code counts as a failed statement', t => {
  for (const code of ['__proto__', 'toString', 'constructor', '', 'NEW']) {
    const [message] = databaseMessages(`ERROR ${code} text\r\n`);
    t.deepEqual(message, {kind: 'error', fault: 'failed', text: 'text'}, code);
  }
  const [busy] = databaseMessages('ERROR NOSTMT text\r\n');
  t.deepEqual(busy, {kind: 'error', fault: 'busy', text: 'text'});
});

// Guards against a PAUSE at a term such as 1e+300, and against a replica that is
// paused at a term above all others for good.
test('a status row with a term that cannot exist is not taken', t => {
  for (const term of ['1e300', '-1', '1.5', 'Infinity', '9'.repeat(16), 'x']) {
    const rows = [`replica ${term} 3.1 0`, `replica 3 3.1 ${term}`];
    for (const row of [...rows, `replica 3 ${term}.1 0`])
      t.is(databaseCodec.parseReport(row), undefined, row);
  }
  for (const row of ['', 'replica', 'lord 3 3.1 0', '__proto__ 3 3.1 0'])
    t.is(databaseCodec.parseReport(row), undefined, row);
});

test('encodes answers to callers', t => {
  const encode = (answer: CallerAnswer) =>
    callerCodec.encode(answer)._unsafeUnwrap();
  t.is(encode({kind: 'ready', state: 'idle'}), 'READY I -\r\n');
  t.is(
    encode({kind: 'error', error: 'rate_exceeded', text: 'retry_after_ms=5'}),
    'ERROR BUSY retry_after_ms=5\r\n',
  );
  t.is(
    encode({kind: 'error', error: 'outcome_unknown', text: 'x'}),
    'ERROR INDOUBT x\r\n',
  );
});

test('decodes the same messages however the bytes are split', t => {
  const line = fc.constantFrom(
    'START a b',
    'QUERY 1 READ k',
    'QUERY 2 WRITE k v w',
    'QUERY 3 BEGIN READ',
    'BYE',
    'nonsense',
  );
  fc.assert(
    fc.property(
      fc.array(line, {maxLength: 12}),
      fc.array(fc.integer({min: 1, max: 9}), {minLength: 1}),
      (lines, sizes) => {
        const bytes = Buffer.from(lines.map(l => `${l}\r\n`).join(''));
        const decoder = callerCodec.createDecoder();
        const out: unknown[] = [];
        for (let at = 0, n = 0; at < bytes.length; n++) {
          const size = sizes[n % sizes.length];
          out.push(...decoder.push(bytes.subarray(at, at + size)));
          at += size;
        }
        t.deepEqual(out, callerMessages(bytes.toString()));
      },
    ),
    {seed: 7, numRuns: 200},
  );
});

test('decodes arbitrary bytes without throwing and keeps bytes that are not text', t => {
  fc.assert(
    fc.property(fc.uint8Array({maxLength: 400}), bytes => {
      const buffer = Buffer.from(bytes);
      callerCodec.createDecoder().push(buffer);
      databaseCodec.createDecoder().push(buffer);
      decodeDatabaseEntry('i-1', buffer);
      t.true(decodeConfiguration(buffer).isErr());
    }),
    {seed: 7, numRuns: 300},
  );
  const [row] = databaseMessages('ROW \xff\x00\x80\r\n');
  t.deepEqual(row, {kind: 'row', data: '\xff\x00\x80'});
});

test('a line beyond the limit is reported once and skipped', t => {
  const decoder = callerCodec.createDecoder();
  const half = Buffer.alloc(MAX_LINE_BYTES / 2 + 10, 'x');
  const out = [
    ...decoder.push(half),
    ...decoder.push(half),
    ...decoder.push(half),
    ...decoder.push(Buffer.from('\r\nBYE\r\n')),
  ];
  t.deepEqual(out, [{kind: 'too_large'}, {kind: 'bye'}]);
});

test('parses positions and rejects any other text', t => {
  t.deepEqual(parsePosition('3.1207'), {term: 3, offset: 1207});
  for (const text of ['-', '3', '3.', '.7', '3.-1', '3.1.2', 'a.b']) {
    t.is(parsePosition(text), undefined);
  }
});

const ENTRY = {
  service: 'huvo11a',
  addr: '10.128.0.9:8080',
  zone: 'quito-norte',
  version: 'v1',
  slots: 2,
  state: 'ready',
  cold_left_ms: 0,
  db_role: 'replica',
  seq: 4,
};

test('an entry is decoded only when every field is valid', t => {
  const decode = (changes: object) =>
    decodeDatabaseEntry(
      'i-1',
      Buffer.from(JSON.stringify({...ENTRY, ...changes})),
    );
  t.like(decode({}), {id: 'i-1', host: '10.128.0.9', port: 8080, slots: 2});
  t.like(decode({state: 'draining'}), {leaving: true});
  t.like(decode({db_role: 'primary'}), {isLeader: true});
  for (const wrong of [
    {service: 7},
    {addr: 'nowhere'},
    {zone: null},
    {slots: '2'},
    {slots: 0},
    {state: 'resting'},
    {db_role: 'leader'},
  ]) {
    t.is(decode(wrong), undefined, JSON.stringify(wrong));
  }
});

const CONFIGURATION = {
  version: 7,
  routes: [
    {
      name: 'r-8w8p4gv',
      host: 'xapu221ny95',
      prefix: '/',
      kind: 'bounded',
      timeout_ms: 1500,
      slo_ms: 800,
      priority: 2,
      service: 'huvo11a',
      max_attempts: 2,
      max_staleness_ms: 1500,
      public: false,
    },
  ],
  services: [{name: 'huvo11a', max_conns: 16, sync_replicas: 1}],
  limits: {tx_idle_ms: 3000},
  tenants: [
    {name: 'nypu920', api_keys: ['k1', 'k2'], rate_per_s: 97, burst: 97},
  ],
};

test('decodes a configuration by host and key', t => {
  const decoded = decodeConfiguration(
    Buffer.from(JSON.stringify(CONFIGURATION)),
  );
  const config = decoded._unsafeUnwrap();
  t.is(config.version, 7);
  t.like(config.routes.get('xapu221ny95'), {
    freshness: 'bounded',
    timeoutMs: 1_500,
    objectiveMs: 800,
  });
  t.is(config.customerOfKey.get('k2'), 'nypu920');
  t.is(config.services.get('huvo11a')?.syncReplicas, 1);
  t.is(config.idleTransactionMs, 3_000);
});

/** Paths in the configuration, and values that cannot stand there. */
const ODD_FIELDS: ReadonlyArray<readonly [string, readonly unknown[]]> = [
  ['version', [-1, 1.5, 1e308, 2 ** 53, '7', null]],
  ['routes', [null, {}, 'x', [null], [7]]],
  ['routes.0.host', [7, null, {}, []]],
  ['routes.0.kind', [7, null, {toString: null}]],
  ['routes.0.timeout_ms', ['800', -1, null, []]],
  ['routes.0.public', ['yes', 1]],
  ['services', [null, {}, [null]]],
  ['services.0.name', [7, null]],
  ['services.0.max_conns', ['16', -1]],
  ['tenants', [{}, 'x', [null]]],
  ['tenants.0.api_keys', ['k', [7], {}]],
  ['tenants.0.rate_per_s', ['97', -1, null]],
  ['limits', [7, 'x']],
  ['limits.tx_idle_ms', ['3000', -1]],
];

/** Returns the configuration with the value at a path replaced. */
function configurationWith(path: string, value: unknown): Buffer {
  const copy = structuredClone(CONFIGURATION) as Record<string, unknown>;
  const names = path.split('.');
  const last = names.pop() ?? '';
  let parent = copy;
  for (const name of names) parent = parent[name] as Record<string, unknown>;
  parent[last] = value;
  return Buffer.from(JSON.stringify(copy));
}

// Guards against limits and rates that are no numbers, and against a version
// that no later one exceeds.
test('a configuration with a field that cannot be used is rejected', t => {
  for (const [path, values] of ODD_FIELDS) {
    for (const value of values) {
      const decoded = decodeConfiguration(configurationWith(path, value));
      t.true(decoded.isErr(), `${path} ${JSON.stringify(value)}`);
    }
  }
  const proto = decodeConfiguration(
    configurationWith('routes.0.kind', '__proto__'),
  )._unsafeUnwrap();
  t.is([...proto.routes.values()][0].freshness, 'primary');
});

// Guards against names, keys and ids that become equal since each byte that is
// not UTF-8 is replaced by the same character.
test('documents that are not valid UTF-8 are not taken', t => {
  const withBytes = (document: object, bytes: readonly number[]): Buffer => {
    const [before, after] = JSON.stringify(document).split('HERE');
    return Buffer.concat([
      Buffer.from(before),
      Buffer.from(bytes),
      Buffer.from(after),
    ]);
  };
  const [tenant] = CONFIGURATION.tenants;
  const tenants = [{...tenant, name: 'ana-HERE'}];
  const config = {...CONFIGURATION, tenants};
  const entry = {...ENTRY, service: 'orders-HERE'};
  for (const bytes of [[0xff], [0xc3], [0x80], [0xed, 0xa0, 0x80]]) {
    const decoded = decodeConfiguration(withBytes(config, bytes));
    t.is(decoded._unsafeUnwrapErr(), 'not valid UTF-8');
    t.is(decodeDatabaseEntry('i-1', withBytes(entry, bytes)), undefined);
  }
  t.true(decodeConfiguration(withBytes(config, [0xc5, 0x9a])).isOk());
  t.truthy(decodeDatabaseEntry('i-1', withBytes(entry, [0xc5, 0x9a])));
});

const SETTINGS = `
node_name: "front-quito-norte-1"
ip: "10.1.0.26"
zone: "quito-norte"
region: "sierra"
zones:
  quito-norte: "sierra"
listen:
  front: "10.1.0.26:8465"
  ready_addr: "10.1.0.26:8460"
port_range:
  - 7560
  - 7575
something_new: [1, 2]
bounds:
  revoke_ms: 5000
  grace_s: 6
platform:
  addr: "10.200.1.7:8466"
cloud_api:
  addr: "10.200.0.2:8466"
`;

test('parses a settings file and ignores unknown fields', t => {
  const settings = parseSettings(SETTINGS)._unsafeUnwrap();
  t.like(settings, {
    vm: 'front-quito-norte-1',
    peerPort: 7_560,
    shutdownGraceMs: 6_000,
    callerAddress: {host: '10.1.0.26', port: 8_465},
  });
});

test('the time until an evacuated zone is closed may be set', t => {
  const withTime = SETTINGS.replace('grace_s: 6', 'evacuate_ms: 1200');
  t.is(parseSettings(SETTINGS)._unsafeUnwrap().evacuateMs, 5_000);
  t.is(parseSettings(withTime)._unsafeUnwrap().evacuateMs, 1_200);
  const wrong = SETTINGS.replace('grace_s: 6', 'evacuate_ms: -1');
  t.true(parseSettings(wrong).isErr());
});

test('the tolerance for cold databases is optional in a settings file', t => {
  const toleranceOf = (text: string) =>
    parseSettings(text)._unsafeUnwrap().warmUpTolerance;
  t.deepEqual(toleranceOf(SETTINGS), {excess: 1.5, slack: 5});
  const changed = SETTINGS.replace(
    /( *)revoke_ms: 5000/,
    '$1revoke_ms: 5000\n$1cold_excess: 2\n$1cold_slack: 0',
  );
  t.deepEqual(toleranceOf(changed), {excess: 2, slack: 0});
});

test('names each wrong field of a settings file', t => {
  const wrong = SETTINGS.replace('"10.1.0.26:8465"', 'true').replace(
    'zone: "quito-norte"',
    'zone: 7',
  );
  const error = parseSettings(wrong)._unsafeUnwrapErr();
  t.regex(error, /listen\.front is true/);
  t.regex(error, /zone is 7/);
  t.true(parseSettings('a: [').isErr());
});

// Guards against a process that ends after a reload: a port that cannot exist
// threw in the first call to the store, in a timer that nothing catches.
test('a settings file with an address or number that cannot exist is rejected', t => {
  const odd: ReadonlyArray<readonly [string, string]> = [
    ['10.200.1.7:8466', '10.200.1.7:84660'],
    ['10.200.1.7:8466', '10.200.1.7:0'],
    ['10.200.0.2:8466', '999.1.1.1:80'],
    ['10.1.0.26:8465', '....:80'],
    ['- 7560', '- 75600'],
    ['- 7560', '- 7560.5'],
    ['grace_s: 6', 'grace_s: .inf'],
    ['revoke_ms: 5000', 'revoke_ms: .nan'],
    // The name goes into keys of the store and into a header.
    ['front-quito-norte-1', 'front\\r\\nX: y'],
    ['front-quito-norte-1', ' front'],
    ['front-quito-norte-1', 'x'.repeat(151)],
  ];
  for (const [valid, wrong] of odd) {
    const text = SETTINGS.replace(valid, wrong);
    t.true(parseSettings(text).isErr(), wrong);
  }
});
