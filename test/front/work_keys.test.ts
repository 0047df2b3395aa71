/** Tests the keys by which work is known at the front that runs it. */
import test from 'ava';
import {createIdSource} from '../../src/core/process_ids.js';
import {Access, faultReply, Fault, Work} from '../../src/core/work.js';
import {Dispatcher} from '../../src/front/dispatcher.js';
import {Router} from '../../src/front/router.js';

/** Returns the work that a process of `front-1` sends for one statement. */
async function workOf(process: string): Promise<Work> {
  const sent: Work[] = [];
  const dispatcher = {
    run: async (work: Work) => {
      sent.push(work);
      return {reply: faultReply(Fault.aborted, ''), holder: 'holder'};
    },
  };
  const router = Router.create({
    newId: createIdSource(process),
    place: {zone: 'z', region: 'r'},
    directory: () => new Map(),
    dispatcher: dispatcher as unknown as Dispatcher,
    mayLead: () => true,
    exclusionOf: () => undefined,
    random: () => 0,
    log: () => undefined,
  });
  await router.runInLane(
    {
      service: 's',
      database: 'd',
      customer: 'c',
      requestId: 'r',
      text: 'READ a',
      access: Access.read,
      session: {values: [], prepared: undefined},
      priority: 1,
      budgetMs: 100,
    },
    false,
    () => undefined,
  );
  return sent[0];
}

// A front that was started again gave its work the keys of its former process:
// at the holder, a late cancel of the former one rejected work of the present
// one, and the end of the former one's work hid that of the present one.
test('work of a front has other keys after the front was started again', async t => {
  t.not((await workOf('p1')).key, (await workOf('p2')).key);
});
