/**
 * Checks the rules of the protocol all the time, as the operators do: it sees the true state of all
 * workers and what every user is told, and nothing of the controllers.
 */
import { every, type Clock, type Timer } from '#wire';
import type { Observer, WorldEvent } from '../events.js';
import { WorldState } from '../world-state.js';
import { AnswerChecks } from './answer-checks.js';
import { CancelChecks } from './cancel-checks.js';
import type { Check, CheckContext, CheckerSettings } from './check.js';
import { DependencyChecks } from './dependency-checks.js';
import { JobLedger } from './job-ledger.js';
import { SilenceCheck } from './silence-check.js';
import { StartChecks } from './start-checks.js';
import { breaksRule, ViolationLog, type Violation } from './violation.js';
import { WaitingCheck } from './waiting-check.js';

const TICK_MS = 1000;

/** Passes each event to all checks and collects the violations that they find. */
export class RuleChecker {
  /** The true state of the world, also for faults that choose by it. */
  readonly state = new WorldState();
  readonly observe: Observer = (event) => {
    this.apply(event);
  };
  private readonly ledger: JobLedger;
  private readonly log: ViolationLog;
  private readonly checks: Check[];
  private readonly ticks: Timer;
  private faultFreeSince: number | null = null;
  private anyStart = false;

  constructor(
    private readonly clock: Clock,
    settings: CheckerSettings,
  ) {
    const now = () => clock.now();
    this.ledger = new JobLedger(now);
    this.log = new ViolationLog(now);
    const context: CheckContext = {
      settings,
      state: this.state,
      ledger: this.ledger,
      now,
      faultFreeSince: () => this.faultFreeSince,
      recordViolation: (finding) => {
        this.log.add(finding);
      },
    };
    this.checks = [
      new StartChecks(context),
      new CancelChecks(context, clock),
      new DependencyChecks(context),
      new AnswerChecks(context),
      new SilenceCheck(context),
      new WaitingCheck(context),
    ];
    this.ticks = every(clock, TICK_MS, () => {
      this.tick();
    });
  }

  /** All faults have ended: stricter rules hold until faultsBegan(). */
  faultsEnded(): void {
    this.faultFreeSince ??= this.clock.now();
  }

  faultsBegan(): void {
    this.faultFreeSince = null;
  }

  /** All that was found so far. */
  get findings(): readonly Violation[] {
    return this.log.all;
  }

  /** Violations of rules, without what is only counted. */
  get violations(): Violation[] {
    return this.log.all.filter(breaksRule);
  }

  /** Ends the run: checks what can only be known then, and returns all violations of rules. */
  finish(): Violation[] {
    this.ticks.cancel();
    if (!this.anyStart) {
      this.log.add({ rule: 'nothing_ran', job: null, explanation: 'no task was started' });
    }
    return this.violations;
  }

  private apply(event: WorldEvent): void {
    if (event.kind === 'task-started') this.anyStart = true;
    this.state.apply(event);
    this.ledger.recordRequest(event);
    for (const check of this.checks) check.onEvent?.(event);
    this.ledger.recordAnswer(event);
  }

  private tick(): void {
    for (const check of this.checks) check.onTick?.();
  }
}
