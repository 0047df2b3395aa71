/** A stand-in of the platform's promotion endpoint, with fencing. */
import {IncomingMessage} from 'node:http';
import {PromotionOrder, StandinGroup} from './standin_database.js';

/** What becomes of promotion orders; set by tests. */
export const PromotionMode = {
  executed: 'executed',
  /** Neither executed nor answered. */
  lost: 'lost',
  /** Executed `lateMs` after arrival, and not answered before. */
  late: 'late',
} as const;
export type PromotionMode = (typeof PromotionMode)[keyof typeof PromotionMode];

/** An order to promote a database of a service. */
export interface ReceivedPromotion extends PromotionOrder {
  readonly service: string;
  readonly id: string;
}

/** Executes orders unless their fencing token is lower than one seen before. */
export class StandinPromotions {
  mode: PromotionMode = PromotionMode.executed;
  lateMs = 3_000;
  /** Whether late orders are answered once they have been executed. */
  answersLate = false;
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
    const receivedAtMs = performance.now();
    const order = {service, id, holder, fencingToken, receivedAtMs};
    this.received.push(order);
    if (this.mode === PromotionMode.lost) return;
    if (this.mode === PromotionMode.late) {
      const {answersLate} = this;
      return void setTimeout(() => {
        const isAccepted = this.execute(order);
        if (answersLate) answer(isAccepted ? 200 : 409, {});
      }, this.lateMs);
    }
    answer(this.execute(order) ? 200 : 409, {});
  }

  /** Returns whether the order was accepted. */
  private execute(order: ReceivedPromotion): boolean {
    const {service, id, fencingToken} = order;
    if (fencingToken < this.highestFencingToken) return false;
    this.highestFencingToken = fencingToken;
    const group = this.groups.find(g => g.service === service);
    return group?.promote(id, order) === true;
  }
}
