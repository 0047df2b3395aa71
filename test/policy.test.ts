import test from 'ava';
import {measureUser, POLICY_SEED, USERS} from '../bench/policy.js';

interface Measures {
  readonly replica_read_share: {policy: number; baseline: number};
  readonly write_gap_ms: {policy: number; baseline: number};
  readonly worst_customer_p99_ratio: {policy: number; baseline: number};
  readonly wrongful_refusal_share: {policy: number; baseline: number};
  readonly wrongful_refusal_share_vm_lost: number;
  readonly overrun_tokens: number;
}

const FAILOVER_AIM_MS = 2_000;
const WORST_RATIO_AIM = 1.5;
const VM_LOST_REFUSAL_AIM = 0.01;

for (const user of USERS) {
  test(`${user.name}: every policy meets its aim and beats its baseline`, t => {
    const measured = measureUser(user, POLICY_SEED) as Measures;
    t.log(JSON.stringify(measured));
    const {replica_read_share: reads, write_gap_ms: gap} = measured;
    t.true(reads.policy > reads.baseline);
    t.true(gap.policy <= FAILOVER_AIM_MS);
    t.true(gap.baseline > gap.policy);
    const {worst_customer_p99_ratio: ratio} = measured;
    t.true(ratio.policy <= WORST_RATIO_AIM);
    t.true(ratio.baseline > ratio.policy);
    t.is(measured.wrongful_refusal_share.policy, 0);
    t.true(measured.wrongful_refusal_share.baseline > 0);
    t.true(measured.wrongful_refusal_share_vm_lost < VM_LOST_REFUSAL_AIM);
    t.is(measured.overrun_tokens, 0);
  });
}
