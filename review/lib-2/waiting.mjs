/** Watches which jobs have begun, for the cases in which a job waits on machines with room. */
import { setTimeout as sleep } from 'node:timers/promises';
import { job, seconds } from './case.mjs';

const GPUS_PER_MACHINE = 8;

/** Follows the events of the stand-ins: what was accepted, which jobs have begun, and what machines have free. */
export class Watch {
  accepted = new Map();
  begunAt = new Map();
  jobs = new Map();
  usedGpus = new Map();

  constructor(record) {
    this.record = record;
    this.observe = (event) => {
      record.observe(event);
      this.apply(event);
    };
  }

  apply({ kind, machine, task, request, status }) {
    if (kind === 'machine-up') this.usedGpus.set(machine.name, 0);
    else if (kind === 'machine-gone') this.usedGpus.delete(machine);
    else if (kind === 'task-assigned') this.place(machine, task, 1);
    else if (kind === 'task-left') this.place(machine, task, -1);
    else if (kind === 'answered' && request.kind === 'submit' && status < 300)
      this.accepted.set(request.job, seconds());
  }

  place(machine, task, sign) {
    const used = this.usedGpus.get(machine);
    if (used !== undefined) this.usedGpus.set(machine, used + sign * this.jobs.get(task.job).gpus);
    if (sign > 0 && !this.begunAt.has(task.job)) this.begunAt.set(task.job, seconds());
  }

  /** Names of the machines with so many free GPUs. */
  machinesWithFree(gpus) {
    return [...this.usedGpus]
      .filter(([, used]) => used + gpus <= GPUS_PER_MACHINE)
      .map(([name]) => name);
  }

  /** Submits a job; returns its id. */
  submit(cluster, fields, runS) {
    const each = job({ id: cluster.newJobId(), ...fields });
    this.jobs.set(each.id, each);
    const runs = Array(each.kind === 'gang' ? 1 : each.tasks).fill(runS);
    const program = { job: each, runS: runs, failsAfterS: null };
    cluster.users.submit({ program, submitAtS: 0, cancelAfterS: null, repeatAfterS: null });
    return each.id;
  }

  /** Resolves with whether the condition came true within so many seconds. */
  async until(condition, maxS) {
    const endS = seconds() + maxS;
    while (!condition() && seconds() < endS) await sleep(100);
    return condition();
  }
}
