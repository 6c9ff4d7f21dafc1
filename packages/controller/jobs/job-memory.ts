/** Counts the memory that jobs take, and limits it. */
import type { Job } from '#wire';
import {
  ENDED_JOB_BYTES,
  endedRecordBytes,
  openJobBytes,
  submissionBytes,
} from './job-memory-estimate.js';

/** Share of the memory for open jobs that is reserved for teams, equally; the rest is for whoever needs it. */
const RESERVED_SHARE = 1 / 2;
/**
 * Ended jobs count against the memory for open jobs only up to this share of the limit. Their number never falls, so
 * that they would otherwise keep out new jobs for good.
 */
const MAX_ENDED_SHARE = 1 / 2;
/** Full records of ended jobs are kept while less than this share of the limit is in use. */
const ENDED_RECORDS_SHARE = 1 / 2;

/** The limits of a `JobMemory`. */
export interface JobMemoryLimits {
  /** Bytes that all jobs together may take. */
  limitBytes: number;
  /** Number of teams; at least 1. */
  teams: number;
}

/** The memory that is reserved for one submission until it is answered. */
export interface MemoryReservation {
  /** Ends the reservation. Must be called once. */
  release(): void;
}

const NO_LIMITS: JobMemoryLimits = { limitBytes: Infinity, teams: 1 };

/**
 * The estimated memory of all jobs that a controller knows, and of the submissions that it is accepting. The estimate
 * of a job follows from its record and counts what a leader keeps. So all controllers agree on it, and each of them can
 * hold all accepted jobs after a restart and as the next leader.
 */
export class JobMemory {
  /** Bytes of open jobs and of submissions, by team. */
  private readonly openBytes = new Map<string, number>();
  private endedJobs = 0;
  private endedRecordBytes = 0;

  constructor(private readonly limits: JobMemoryLimits = NO_LIMITS) {}

  /** Bytes that all jobs together may take. */
  get limitBytes(): number {
    return this.limits.limitBytes;
  }

  /** Estimated bytes of all jobs and submissions. */
  get usedBytes(): number {
    let used = this.endedBytes + this.endedRecordBytes;
    for (const bytes of this.openBytes.values()) used += bytes;
    return used;
  }

  private get endedBytes(): number {
    return this.endedJobs * ENDED_JOB_BYTES;
  }

  /** Whether there is memory to spare for full records of ended jobs, which can also be read again. */
  get canKeepEndedRecords(): boolean {
    return this.usedBytes <= ENDED_RECORDS_SHARE * this.limits.limitBytes;
  }

  /** Counts an open job. */
  addOpen(job: Job): void {
    this.changeOpenBytes(job.team, openJobBytes(job));
  }

  /** Stops counting an open job. */
  removeOpen(job: Job): void {
    this.changeOpenBytes(job.team, -openJobBytes(job));
  }

  /** Counts an ended job without its full record. */
  addEnded(): void {
    this.endedJobs++;
  }

  /** Counts the full record of an ended job. */
  addEndedRecord(job: Job): void {
    this.endedRecordBytes += endedRecordBytes(job);
  }

  /** Stops counting the full record of an ended job. */
  removeEndedRecord(job: Job): void {
    this.endedRecordBytes -= endedRecordBytes(job);
  }

  /**
   * Reserves memory for a submission whose body has so many bytes, until it is recorded or refused. Returns null if
   * the job's team has no memory left for it.
   */
  reserve(job: Job, bodyBytes: number): MemoryReservation | null {
    const bytes = openJobBytes(job) + submissionBytes(bodyBytes);
    if (!this.hasCapacityFor(job.team, bytes)) return null;
    this.changeOpenBytes(job.team, bytes);
    return {
      release: () => {
        this.changeOpenBytes(job.team, -bytes);
      },
    };
  }

  /**
   * Whether the team may take so many bytes more. Beyond the memory that is reserved for it, it competes for the
   * rest, so that a team with many jobs does not keep out the others.
   */
  private hasCapacityFor(team: string, bytes: number): boolean {
    const { limitBytes, teams } = this.limits;
    const available = limitBytes - Math.min(this.endedBytes, MAX_ENDED_SHARE * limitBytes);
    const reservedBytes = (available * RESERVED_SHARE) / teams;
    const afterwards = new Map(this.openBytes);
    afterwards.set(team, (afterwards.get(team) ?? 0) + bytes);
    if ((afterwards.get(team) ?? 0) <= reservedBytes) return true;
    let shared = 0;
    for (const teamBytes of afterwards.values()) shared += Math.max(0, teamBytes - reservedBytes);
    return shared <= available * (1 - RESERVED_SHARE);
  }

  private changeOpenBytes(team: string, bytes: number): void {
    this.openBytes.set(team, (this.openBytes.get(team) ?? 0) + bytes);
  }
}
