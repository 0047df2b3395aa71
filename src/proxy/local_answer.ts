/** Answers that the proxy gives by itself, in either query protocol. */
import {Batch} from '../core/batch.js';
import {
  Code,
  commandFrame,
  dataRowFrame,
  emptyFrame,
  frameOf,
  rowDescriptionFrame,
} from '../pg/wire.js';

/** One row of one column. */
export interface SingleRow {
  readonly column: string;
  readonly value: string;
}

const NO_PARAMETERS = frameOf(Code.parameterDescription, Buffer.from([0, 0]));

/** The frames before ReadyForQuery that answer a batch. */
export function localAnswer(
  batch: Batch,
  tag: string,
  row?: SingleRow,
): Buffer[] {
  return batch.messages.flatMap(type => answerMessage(type, tag, row));
}

function answerMessage(
  type: Batch['messages'][number],
  tag: string,
  row: SingleRow | undefined,
): Buffer[] {
  const shape = row
    ? rowDescriptionFrame([row.column])
    : emptyFrame(Code.noData);
  const rows = row ? [dataRowFrame([row.value])] : [];
  switch (type) {
    case 'query':
      return [...(row ? [shape] : []), ...rows, commandFrame(tag)];
    case 'parse':
      return [emptyFrame(Code.parseComplete)];
    case 'bind':
      return [emptyFrame(Code.bindComplete)];
    case 'describeStatement':
      return [NO_PARAMETERS, shape];
    case 'describePortal':
      return [shape];
    case 'execute':
      return [...rows, commandFrame(tag)];
    case 'closeStatement':
    case 'closePortal':
      return [emptyFrame(Code.closeComplete)];
    default:
      return [];
  }
}
