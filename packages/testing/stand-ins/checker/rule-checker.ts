/**
 * Checks the rules of the protocol at each event and each second. Like the operators, it sees the true
 * state of all workers and every answer to a user, but nothing of the controllers.
 */
import { every, type Clock, type Timer } from '#wire';
import type { Observer, WorldEvent } from '../events.js';
import { WorldState } from '../world-state.js';
import { AnswerChecks } from './answer-checks.js';
import { CancelChecks } from './cancel-checks.js';
import type { Check, CheckContext, CheckerSettings } from './check.js';
import { DependencyChecks } from './dependency-checks.js';
import { JobRecords } from './job-records.js';
import { UnansweredCheck } from './unanswered-check.js';
import { StartChecks } from './start-checks.js';
import { breaksRule, ViolationLog, type Violation } from './violation.js';
import { WaitingCheck } from './waiting-check.js';

const TICK_MS = 1000;

/** Passes each event to all checks and collects the violations that they find. */
export class RuleChecker {
  /** The true state of machines and tasks; faults use it to choose their targets. */
  readonly state = new WorldState();
  readonly observe: Observer = (event) => {
    this.apply(event);
  };
  private readonly jobRecords: JobRecords;
  private readonly violationLog: ViolationLog;
  private readonly checks: Check[];
  private readonly tickTimer: Timer;
  private faultFreeSince: number | null = null;
  private anyTaskStarted = false;

  constructor(
    private readonly clock: Clock,
    settings: CheckerSettings,
  ) {
    const now = () => clock.now();
    this.jobRecords = new JobRecords(now);
    this.violationLog = new ViolationLog(now);
    const context: CheckContext = {
      settings,
      state: this.state,
      jobRecords: this.jobRecords,
      now,
      faultFreeSince: () => this.faultFreeSince,
      recordViolation: (finding) => {
        this.violationLog.add(finding);
      },
    };
    this.checks = [
      new StartChecks(context),
      new CancelChecks(context, clock),
      new DependencyChecks(context),
      new AnswerChecks(context),
      new UnansweredCheck(context),
      new WaitingCheck(context),
    ];
    this.tickTimer = every(clock, TICK_MS, () => {
      this.tick();
    });
  }

  /** Must be called when the last fault has ended: stricter rules apply until faultsBegan(). */
  faultsEnded(): void {
    this.faultFreeSince ??= this.clock.now();
  }

  faultsBegan(): void {
    this.faultFreeSince = null;
  }

  /** All violations so far, including events that are only counted. */
  get allViolations(): readonly Violation[] {
    return this.violationLog.all;
  }

  /** The violations so far that break a rule, without events that are only counted. */
  get violations(): Violation[] {
    return this.violationLog.all.filter(breaksRule);
  }

  /** Ends the run: checks that some task was started, and returns all violations that break a rule. */
  finish(): Violation[] {
    this.tickTimer.cancel();
    if (!this.anyTaskStarted) {
      this.violationLog.add({ rule: 'nothing_ran', job: null, explanation: 'no task was started' });
    }
    return this.violations;
  }

  private apply(event: WorldEvent): void {
    if (event.kind === 'task-started') this.anyTaskStarted = true;
    this.state.apply(event);
    this.jobRecords.recordRequest(event);
    for (const check of this.checks) check.onEvent?.(event);
    this.jobRecords.recordAnswer(event);
  }

  private tick(): void {
    for (const check of this.checks) check.onTick?.();
  }
}
