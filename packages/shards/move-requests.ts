import { type Clock, pause, type StateApi } from '#wire';
import { decodeLeader, shardKey } from '#store';
import {
  decodeMove,
  endMove,
  moveConditions,
  moveKey,
  type MoveRecord,
  type MoveResult,
  moveResultKey,
} from './move-record.js';

/** Between two looks at a move that is waited for. */
const POLL_INTERVAL_MS = 100;

/** A part as the state service holds it. */
export interface ShardStatus {
  shard: number;
  /** Null while nobody owns it. */
  leader: { name: string; term: number } | null;
  /** The move under way; `unreadable` if its record is damaged or of a later version. */
  move: MoveRecord | 'unreadable' | null;
  /** How the last move ended; null if there was none. */
  lastMove: MoveResult | null;
}

/** What became of a request. */
export type RequestOutcome =
  | { kind: 'moved'; term: number }
  /** Nothing was changed, or the owner has kept the part. */
  | { kind: 'not-moved'; why: string }
  /** Nobody has taken the request up, and it was withdrawn. */
  | { kind: 'ignored' };

/** Asks for moves of a part, and tells how they are, for people at a terminal and for programs. */
export class MoveRequests {
  constructor(
    private readonly api: StateApi,
    private readonly clock: Clock,
    private readonly shard: number,
  ) {}

  /** Rejects with NoAnswer or StateRefused, as all others do. */
  async status(): Promise<ShardStatus> {
    const { shard, api } = this;
    const [leader, move, lastMove] = await Promise.all([
      api.get(shardKey(shard)),
      api.get(moveKey(shard)),
      api.get(moveResultKey(shard)),
    ]);
    return {
      shard,
      leader: leader && { name: decodeLeader(leader.value).leader, term: leader.version },
      move: move && (decodeMove(move.value) ?? 'unreadable'),
      lastMove: lastMove && (lastMove.value as MoveResult),
    };
  }

  /** Asks for a move and waits for its end, or for so many seconds. */
  async move(to: string, reason: string, withinS: number): Promise<RequestOutcome> {
    const { shard, api, clock } = this;
    const { leader } = await this.status();
    if (leader === null) return { kind: 'not-moved', why: 'nobody owns the part now' };
    if (leader.name === to) return { kind: 'not-moved', why: `${to} owns the part already` };
    const value: MoveRecord = { fromTerm: leader.term, to, reason, phase: 'requested' };
    const conditions = moveConditions(shard, leader.term, 0);
    const out = await api.txn(conditions, [{ put: moveKey(shard), value }]);
    if (!out.ok) return { kind: 'not-moved', why: await this.describeConflict() };
    const untilS = clock.now() + withinS;
    while ((await api.get(moveKey(shard))) !== null) {
      if (clock.now() > untilS) return this.giveUp();
      await pause(clock, POLL_INTERVAL_MS);
    }
    return this.outcome(to);
  }

  private async describeConflict(): Promise<string> {
    const { move } = await this.status();
    if (move === null) return 'the part has changed its owner just now';
    return move === 'unreadable'
      ? 'an unreadable move is there'
      : `a move to ${move.to} is under way`;
  }

  private async giveUp(): Promise<RequestOutcome> {
    const withdrawn = await this.withdraw('not carried out in time');
    if (withdrawn) return { kind: 'ignored' };
    return { kind: 'not-moved', why: 'not yet: it is being carried out' };
  }

  private async outcome(to: string): Promise<RequestOutcome> {
    const { leader, lastMove } = await this.status();
    if (leader?.name === to) return { kind: 'moved', term: leader.term };
    return { kind: 'not-moved', why: lastMove?.why || 'the part has changed its owner since' };
  }

  /** Takes a request back that is not being carried out yet; false if there is none. */
  async withdraw(why: string): Promise<boolean> {
    const { api, shard } = this;
    const move = await api.get(moveKey(shard));
    if (move === null) return false;
    const record = decodeMove(move.value);
    if (record?.phase === 'quiesced') return false;
    const { to = '', reason = '' } = record ?? {};
    const result: MoveResult = { outcome: 'refused', to, reason, why };
    const conditions = [{ key: moveKey(shard), version: move.version }];
    return (await api.txn(conditions, endMove(shard, result))).ok;
  }
}
