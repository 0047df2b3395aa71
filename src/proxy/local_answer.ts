/**
 * Builds answers of the proxy itself, without a database, in the simple and the
 * extended query protocol.
 */
import {Batch} from '../core/batch.js';
import {
  FrameCode,
  commandCompleteFrame,
  dataRowFrame,
  emptyFrame,
  frameOf,
  rowDescriptionFrame,
} from '../pg/wire.js';

/** The result of a SHOW statement: one row with one column of type text. */
export interface SingleRow {
  readonly column: string;
  readonly value: string;
}

const NO_PARAMETERS = frameOf(
  FrameCode.parameterDescription,
  Buffer.from([0, 0]),
);

/** Returns the frames that answer a batch, without the final ReadyForQuery. */
export function answerLocally(
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
  const description = row
    ? rowDescriptionFrame([row.column])
    : emptyFrame(FrameCode.noData);
  const rows = row ? [dataRowFrame([row.value])] : [];
  switch (type) {
    case 'query':
      return [
        ...(row ? [description] : []),
        ...rows,
        commandCompleteFrame(tag),
      ];
    case 'parse':
      return [emptyFrame(FrameCode.parseComplete)];
    case 'bind':
      return [emptyFrame(FrameCode.bindComplete)];
    case 'describeStatement':
      return [NO_PARAMETERS, description];
    case 'describePortal':
      return [description];
    case 'execute':
      return [...rows, commandCompleteFrame(tag)];
    case 'closeStatement':
    case 'closePortal':
      return [emptyFrame(FrameCode.closeComplete)];
    default:
      return [];
  }
}
