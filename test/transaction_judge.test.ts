import test from 'ava';
import {
  readTag,
  tagStatement,
  TransactionJudge,
} from '../src/standin/transaction_judge.js';

const ana = {caller: 'ana', transaction: '1'};
const beto = {caller: 'beto', transaction: '1'};
const single = {caller: 'ana', transaction: undefined};

/** Where a statement runs: in a transaction or not, begins one or not. */
const place = (isInTransaction: boolean, isBegin = false) => ({
  database: 'db1',
  connection: 7,
  isInTransaction,
  isBegin,
});

test('a tag survives in the text of a statement', t => {
  for (const tag of [ana, single]) {
    t.deepEqual(readTag(tagStatement(tag, 'SELECT 1')), tag);
  }
  t.is(readTag('SELECT 1 /* caller=ana */ '), undefined);
});

test('only statements in a wrong transaction are violations', t => {
  const judge = TransactionJudge.create();
  t.is(judge.judge(place(false), single), undefined);
  t.is(judge.judge(place(false, true), ana), undefined);
  t.is(judge.judge(place(true), ana), undefined);
  t.is(judge.judge(place(true), undefined), undefined);
  t.like(judge.judge(place(true), beto), {statement: beto, open: ana});
  t.like(judge.judge(place(true), single), {statement: single, open: ana});
  t.like(judge.judge(place(true, true), beto), {open: ana});
  t.like(judge.judge(place(true), {...ana, transaction: '2'}), {open: ana});
  t.like(judge.judge(place(false), ana), {open: undefined});
  t.is(judge.judge(place(false, true), undefined), undefined);
  t.like(judge.judge(place(true), ana), {open: undefined});
});
