import test from 'ava';
import {DEPLOYMENTS, measureDeployment, POLICY_SEED} from '../bench/policy.js';

interface Measures {
  readonly replica_read_share: {policy: number; baseline: number};
  readonly write_gap_ms: {policy: number; baseline: number};
  readonly worst_customer_p99_ratio: {policy: number; baseline: number};
  readonly wrongful_refusal_share: {policy: number; baseline: number};
  readonly wrongful_refusal_share_vm_lost: number;
  readonly overrun_tokens: number;
}

const MAX_WRITE_GAP_MS = 2_000;
const MAX_P99_RATIO = 1.5;
const MAX_VM_LOST_REFUSAL_SHARE = 0.01;

for (const deployment of DEPLOYMENTS) {
  test(`${deployment.name}: every policy meets its target and beats its baseline`, t => {
    const measured = measureDeployment(deployment, POLICY_SEED) as Measures;
    t.log(JSON.stringify(measured));
    const {replica_read_share: reads, write_gap_ms: gap} = measured;
    t.true(reads.policy > reads.baseline);
    t.true(gap.policy <= MAX_WRITE_GAP_MS);
    t.true(gap.baseline > gap.policy);
    const {worst_customer_p99_ratio: ratio} = measured;
    t.true(ratio.policy <= MAX_P99_RATIO);
    t.true(ratio.baseline > ratio.policy);
    t.is(measured.wrongful_refusal_share.policy, 0);
    t.true(measured.wrongful_refusal_share.baseline > 0);
    t.true(measured.wrongful_refusal_share_vm_lost < MAX_VM_LOST_REFUSAL_SHARE);
    t.is(measured.overrun_tokens, 0);
  });
}
