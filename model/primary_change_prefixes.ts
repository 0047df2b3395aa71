/** Events from which explorations of the model of a change of primary begin. */
import {ChangeModelEvent, CUT_OFF} from './primary_change_system.js';

type Events = readonly ChangeModelEvent[];

const PROCEED = {type: 'proceed'} as const;

/** A database alone receives a commit, and a front acknowledges it. */
const acknowledgedAt = (database: number, front = 0): Events => [
  {type: 'commit', front},
  {type: 'deliver', database},
  {type: 'answer', commit: 0},
  {type: 'acknowledge', commit: 0},
];

/** All fronts learn that commits are stopped. */
const STOP_COMMITS: Events = [
  PROCEED,
  {type: 'show', front: 0},
  {type: 'show', front: 1},
  PROCEED,
];

/** As `STOP_COMMITS`, but the view of a front expires before it answers. */
const STOP_UNREPORTED: Events = [
  PROCEED,
  {type: 'show', front: 0},
  {type: 'expireView'},
  PROCEED,
];

/** All fronts stop commits, and the logs of both replicas are read. */
const READ_LOGS: Events = [
  {type: 'begin'},
  ...STOP_COMMITS,
  PROCEED,
  {type: 'readLog', database: 1},
  {type: 'readLog', database: 2},
];

/** Both replicas were read while a commit has no answer. */
export const AFTER_READING: Events = [{type: 'commit', front: 0}, ...READ_LOGS];

/** As `AFTER_READING`, with an old view of the front that sent the commit. */
export const CUT_OFF_WHILE_READ: Events = [
  {type: 'commit', front: 1},
  {type: 'begin'},
  PROCEED,
  {type: 'show', front: 0},
  {type: 'expireView'},
  PROCEED,
  PROCEED,
  {type: 'readLog', database: 1},
  {type: 'readLog', database: 2},
];

/** The order for a replica is in flight, and the holder has given it up. */
export const AFTER_AN_UNANSWERED_ORDER: Events = [
  ...READ_LOGS,
  {type: 'choose', isEndRead: false},
  PROCEED,
  PROCEED,
  {type: 'timeOut', isLate: false},
];

/** A promotion is ordered and accepted; the holder gives up before its effect. */
const EXECUTED_UNSEEN: Events = [
  PROCEED,
  PROCEED,
  {type: 'execute', order: 0, isAnswered: true},
  {type: 'timeOut'},
];

/** An accepted promotion has not taken effect when the holder gives up. */
export const AFTER_AN_EXECUTED_ORDER: Events = [
  ...READ_LOGS,
  {type: 'choose', isEndRead: false},
  ...EXECUTED_UNSEEN,
];

/**
 * A new database is the only replica that has received a commit. The front that
 * acknowledged it does not report.
 */
export const JOINED_WITH_A_COMMIT: Events = [
  {type: 'join', database: 3},
  ...acknowledgedAt(3, CUT_OFF),
  {type: 'begin'},
  ...STOP_UNREPORTED,
];

const JOINED: Events = [{type: 'join', database: 3}, {type: 'list'}];

/**
 * The entry of the only replica that has received a commit lapses. The front that
 * acknowledged it does not report.
 */
export const LAPSED_WITH_A_COMMIT: Events = [
  ...JOINED,
  ...acknowledgedAt(1, CUT_OFF),
  {type: 'lapse', database: 1},
  {type: 'begin'},
  ...STOP_UNREPORTED,
];

/**
 * A replica has received a commit; the logs are asked for. The front that
 * acknowledged it does not report.
 */
export const READING_WITH_A_COMMIT: Events = [
  ...acknowledgedAt(1, CUT_OFF),
  {type: 'begin'},
  ...STOP_UNREPORTED,
  PROCEED,
];

/**
 * A commit is acknowledged after the attempt has begun. The front that
 * acknowledged it does not report.
 */
export const COMMIT_AFTER_BEGIN: Events = [
  {type: 'begin'},
  ...acknowledgedAt(1, CUT_OFF),
  ...STOP_UNREPORTED,
  PROCEED,
];

/** One replica alone has received a commit, and another database has joined. */
export const ALONE: Events = [...JOINED, ...acknowledgedAt(1)];

/** As `ALONE`; the replica ends, and commits are stopped. */
export const ALONE_ENDED: Events = [
  ...ALONE,
  {type: 'end', database: 1},
  {type: 'begin'},
  ...STOP_COMMITS,
];

/** As `ALONE`; the replica is leaving when the primary is lost. */
export const ALONE_LEAVING: Events = [
  ...ALONE,
  {type: 'leave', database: 1},
  {type: 'losePrimary', database: 0},
  {type: 'begin'},
  ...STOP_COMMITS,
  PROCEED,
];

/** As `ALONE_ENDED`; the former primary steps down before a front reports. */
export const ALONE_STEPPED_DOWN: Events = [
  ...ALONE,
  {type: 'end', database: 1},
  {type: 'begin'},
  PROCEED,
  {type: 'stepDown'},
];

/**
 * As `ALONE_LEAVING`; the log of the replica is refused, and the replica ends.
 */
export const ALONE_REFUSED: Events = [
  ...ALONE_LEAVING,
  {type: 'readLog', database: 1},
  {type: 'readLog', database: 2},
  {type: 'readLog', database: 3},
  {type: 'choose', isEndRead: false},
  {type: 'proceed', isLate: false},
  {type: 'check', hasRecovered: false},
  PROCEED,
  {type: 'end', database: 1},
  PROCEED,
];

/** A database that nobody lists alone has received a commit. */
export const ALONE_UNLISTED: Events = [
  {type: 'join', database: 3},
  ...acknowledgedAt(3),
  {type: 'losePrimary', database: 0},
  {type: 'begin'},
  ...STOP_COMMITS,
  PROCEED,
];

/** As `ALONE`; the front that acknowledged the commit ends before it reports. */
export const ALONE_FRONT_ENDED: Events = [
  ...JOINED,
  ...acknowledgedAt(1, CUT_OFF),
  {type: 'endFront'},
  {type: 'begin'},
  PROCEED,
  {type: 'show', front: 0},
  PROCEED,
];

/** As `ALONE`; the front that acknowledged the commit does not report. */
export const ALONE_UNREPORTED: Events = [
  ...JOINED,
  ...acknowledgedAt(1, CUT_OFF),
  {type: 'begin'},
  ...STOP_UNREPORTED,
];

/** As `ALONE_UNREPORTED`; the replica has ended. */
export const ALONE_UNREPORTED_ENDED: Events = [
  ...JOINED,
  ...acknowledgedAt(1, CUT_OFF),
  {type: 'end', database: 1},
  {type: 'begin'},
  ...STOP_UNREPORTED,
];

/**
 * As `ALONE_UNREPORTED`; the entry of the replica had lapsed, and the primary's
 * log was sampled, before it received the commit.
 */
export const ALONE_UNREPORTED_LAPSED: Events = [
  ...JOINED,
  {type: 'lapse', database: 1},
  {type: 'sample'},
  ...acknowledgedAt(1, CUT_OFF),
  {type: 'begin'},
  ...STOP_UNREPORTED,
];

/** The logs of both replicas are read although no front has stopped commits. */
export const READ_WITHOUT_WAIT: Events = [
  {type: 'begin'},
  PROCEED,
  {type: 'timeOut', isLate: false},
  PROCEED,
  {type: 'readLog', database: 1},
  {type: 'readLog', database: 2},
];

/**
 * A holder is replaced while it writes that commits are permitted again; the
 * next one reads the logs.
 */
export const REPLACED_WHILE_RESTORING: Events = [
  {type: 'begin'},
  PROCEED,
  {type: 'timeOut', isLate: true},
  {type: 'changeHolder'},
  ...READ_LOGS,
];

/**
 * The former primary is being confirmed when the executed promotion of a replica
 * takes effect. A front has learned only that the replica may take commits.
 */
export const CONFIRMING_BEFORE_AN_EFFECT: Events = [
  ...AFTER_AN_EXECUTED_ORDER,
  {type: 'restoreCommits'},
  {type: 'show', front: 0},
  PROCEED,
  PROCEED,
  {type: 'takeEffect'},
];

/** The former primary is being confirmed; no front acts by an older record. */
export const CONFIRMING: Events = [
  ...AFTER_AN_EXECUTED_ORDER,
  {type: 'restoreCommits'},
  ...STOP_COMMITS,
];

/**
 * Promotions of databases 2 and 1 were executed, and the first one takes effect
 * while an order for the same database is in flight.
 */
export const PROMOTED_BEFORE_ANOTHER: Events = [
  {type: 'begin'},
  ...STOP_COMMITS,
  PROCEED,
  {type: 'readLog', database: 2},
  {type: 'choose', isEndRead: true},
  ...EXECUTED_UNSEEN,
  ...READ_LOGS,
  {type: 'choose', isEndRead: false},
  ...EXECUTED_UNSEEN,
  {type: 'lapse', database: 1},
  ...READ_LOGS,
  {type: 'choose', isEndRead: false},
  PROCEED,
  PROCEED,
  {type: 'takeEffect'},
];
