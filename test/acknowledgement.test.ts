import test from 'ava';
import {addCommit, addEvidence, createAckState} from '../src/core/ack.js';
import {WriteAck} from '../src/core/config.js';
import {DatabaseStatus} from '../src/core/position.js';

const LINEAGE = [{term: 1, startOffset: 0}];

const statusOf = (
  database: string,
  offset: number,
  role: 'primary' | 'replica' = 'replica',
): DatabaseStatus => ({database, role, term: 1, offset, lineage: LINEAGE});

/**
 * Returns whether a commit at offset 1 of primary `a` is confirmed once all
 * databases have answered; those in `holders` hold it.
 */
function isConfirmed(databases: readonly string[], holders: string): boolean {
  const position = {term: 1, offset: 1};
  let state = addCommit(createAckState(databases, WriteAck.replica), {
    id: 1,
    position,
    sequence: 1,
  });
  let isDecided = false;
  for (const database of databases) {
    const offset = holders.includes(database) ? 1 : 0;
    const role = database === 'a' ? 'primary' : 'replica';
    const status = statusOf(database, offset, role);
    const decision = addEvidence(state, {status, sequence: 2});
    state = decision.state;
    isDecided ||= decision.confirmed.length > 0;
  }
  return isDecided;
}

// Guards against an election by a majority of which no database holds an
// acknowledged commit.
for (const {names, sufficient, insufficient} of [
  {names: 'a', sufficient: 'a', insufficient: undefined},
  {names: 'ab', sufficient: 'ab', insufficient: 'a'},
  {names: 'abc', sufficient: 'ac', insufficient: 'a'},
  {names: 'abcd', sufficient: 'abc', insufficient: 'ab'},
  {names: 'abcde', sufficient: 'abc', insufficient: 'ab'},
  {names: 'abcdefghi', sufficient: 'abcde', insufficient: 'abcd'},
]) {
  test(`a majority of ${names.length} holds an acknowledged commit`, t => {
    t.true(isConfirmed([...names], sufficient));
    if (insufficient) t.false(isConfirmed([...names], insufficient));
  });
}
