/** A stand-in of the platform's promotion endpoint, with fencing. */
import {IncomingMessage} from 'node:http';
import {StandinGroup} from './standin_database.js';

/** What becomes of promotion orders; set by tests. */
export const PromotionMode = {
  executed: 'executed',
  /** Neither executed nor answered. */
  lost: 'lost',
  /** Executed `lateMs` after arrival, and not answered. */
  late: 'late',
} as const;
export type PromotionMode = (typeof PromotionMode)[keyof typeof PromotionMode];

/** An order; `holder` is the front that it names as sender. */
export interface ReceivedPromotion {
  readonly service: string;
  readonly id: string;
  readonly holder: string;
  readonly fencingToken: number;
}

/** Executes orders unless their fencing token is lower than one seen before. */
export class StandinPromotions {
  mode: PromotionMode = PromotionMode.executed;
  lateMs = 3_000;
  /** Orders in order of arrival, also refused ones. */
  readonly received: ReceivedPromotion[] = [];
  private highestFencingToken = 0;

  constructor(private readonly groups: readonly StandinGroup[]) {}

  /** Handles a request; calls `answer` with a status unless it gets none. */
  receive(
    {headers}: IncomingMessage,
    body: object,
    answer: (status: number, body: object) => void,
  ): void {
    const {service, id} = body as {service: string; id: string};
    const fencingToken = Number(headers['mustardpass-fence-token']);
    const holder = String(headers['mustardpass-duty-holder']);
    const order = {service, id, holder, fencingToken};
    this.received.push(order);
    if (this.mode === PromotionMode.lost) return;
    if (this.mode === PromotionMode.late)
      return void setTimeout(() => this.execute(order), this.lateMs);
    answer(this.execute(order) ? 200 : 409, {});
  }

  /** Returns whether the order was accepted. */
  private execute({service, id, fencingToken}: ReceivedPromotion): boolean {
    if (fencingToken < this.highestFencingToken) return false;
    this.highestFencingToken = fencingToken;
    const group = this.groups.find(g => g.service === service);
    return group?.promote(id) === true;
  }
}
