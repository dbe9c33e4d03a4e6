/** The exchange of takeovers of resubmitted jobs between entries. */
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import type {JobId} from '../../base/job-id.js';
import type {MemberId} from '../../base/member-id.js';
import type {Journal} from '../../runtime/journal/journal.js';
import type {PeerNetwork} from '../../runtime/peers/peer-network.js';
import type {Executor} from '../execution/executor.js';
import {fullMeshLimit} from '../pool/full-mesh-limit.js';
import type {Pool} from '../pool/pool.js';
import {decodeTakeover} from './decode-takeover.js';
import {encodeTakeover} from './encode-takeover.js';
import type {JobTakeover} from './job-takeover.js';
import {SubmissionOrder} from './submission-order.js';
import type {TakeoverMessage} from './takeover-message.js';
import {TakeoverRequests} from './takeover-requests.js';
import {TakeoverResponder} from './takeover-responder.js';

/** A channel of its own, which entries of former versions ignore; connections keep its messages in order with the pool's. */
const channel = 'takeover';

/** Dependencies of the takeovers. */
type TakeoversParts = {
	readonly network: PeerNetwork;
	readonly pool: Pool;
	readonly executor: Executor;
	readonly yieldJob: (takeover: JobTakeover) => void;
	readonly hasRequestedRuns: (job: JobId) => boolean;
	readonly clock: Clock;
	readonly journal: Journal;
};

/** Orders the start of a resubmitted job after the ends of the runs of its former submissions, as far as their entries are reached. */
export class Takeovers implements Disposable {
	readonly #store = new DisposableStore();
	readonly #requests: TakeoverRequests;
	readonly #relays: TakeoverRequests;
	readonly #responder: TakeoverResponder;
	readonly #order: SubmissionOrder;
	#round = 0;

	constructor(private readonly parts: TakeoversParts) {
		const {network, pool, executor, clock} = parts;
		const send = (to: MemberId, message: TakeoverMessage) => {
			this.#send(to, message);
		};

		this.#order = new SubmissionOrder(clock);
		this.#responder = this.#store.add(new TakeoverResponder({
			...parts, self: pool.self, order: this.#order, isRelayed: job => this.#relays.isPending(job), send,
		}));
		const shared = {
			nextRound: () => {
				this.#round += 1;
				return this.#round;
			},
			send,
			delayOf: (peer: MemberId) => this.#delayOf(peer),
			clock,
		};
		this.#requests = this.#store.add(new TakeoverRequests({
			...shared,
			peers: () => this.#peersToAsk(),
			yieldLocally: takeovers => {
				this.#responder.yieldJobs(takeovers);
			},
		}));
		this.#relays = this.#store.add(new TakeoverRequests({
			...shared,
			peers: () => this.#zonePeers.map(id => [id, false] as const),
			yieldLocally() {
				// They were given up when the request arrived.
			},
		}));
		this.#store.add(this.#relays.onDidFinish(({job, mayHaveRun}) => {
			this.#responder.recordRelayed(job, mayHaveRun);
		}));
		this.#store.add(network.onDidReceive(({from, message}) => {
			if (message.channel === channel) {
				this.#receive(from.id, message.body);
			}
		}));
		this.#store.add(executor.onDidReport(() => {
			this.#responder.check();
		}));
		this.#store.add(pool.onDidLoseMember(member => {
			this.#requests.forget(member);
			this.#relays.forget(member);
			this.#responder.forget(member);
		}));
	}

	/** Fires when a job that was requested may be started. */
	get onDidFinish() {
		return this.#requests.onDidFinish;
	}

	/** Asks the peers to give up former submissions of a job. */
	request(takeover: Omit<JobTakeover, 'claimant'>): void {
		this.#requests.request({...takeover, claimant: this.parts.pool.self});
	}

	/**
	 * Whether a requester's submission of a job is a former one. The requester is told of the later one, in case it hasn't read the
	 * claimant's request yet.
	 */
	refuseFormer(requester: MemberId, job: JobId): boolean {
		const latest = this.#order.latestOf(job);
		if (latest === undefined || latest.claimant === requester || !this.#order.isFormer(requester, latest)) {
			return false;
		}

		this.#send(requester, {kind: 'notice', takeovers: [latest]});
		return true;
	}

	dispose(): void {
		this.#store.dispose();
	}

	get #zonePeers(): readonly MemberId[] {
		const {network, pool} = this.parts;
		return [...pool.members].filter(({member}) => member.zone === network.self.zone).map(({member}) => member.id);
	}

	/** In fleets without a full mesh, one peer of each other zone asks the rest of its zone. */
	#peersToAsk(): ReadonlyArray<readonly [MemberId, boolean]> {
		const {network, pool} = this.parts;
		const members = [...pool.members];
		const relayedZones = new Set<string>(members.length > fullMeshLimit ? [network.self.zone] : members.map(({member}) => member.zone));
		return members.map(known => {
			const {id, zone} = known.member;
			const isToRelay = !relayedZones.has(zone) && pool.isFresh(known);
			if (isToRelay) {
				relayedZones.add(zone);
			}

			return [id, isToRelay];
		});
	}

	/** The peer reads the request late, and this entry the answer. A slow peer states at least a third of its delay up to 300 ms. */
	#delayOf(peer: MemberId): number {
		const {pool} = this.parts;
		const delay = pool.readingDelay(peer);
		return delay === 0 ? 0 : (3 * delay) + pool.unreadMilliseconds;
	}

	#send(to: MemberId, message: TakeoverMessage): void {
		const member = this.parts.pool.discovered(to);
		if (member !== undefined) {
			this.parts.network.send(member, {channel, body: encodeTakeover(message)});
		}
	}

	#receive(from: MemberId, body: unknown): void {
		const message = this.#decode(from, body);
		switch (message?.kind) {
			case 'request': {
				for (const takeover of message.isToRelay ? message.takeovers : []) {
					this.#relays.request(takeover);
				}

				this.#responder.answer(from, message.round, message.takeovers);
				return;
			}

			case 'notice': {
				this.#responder.yieldJobs(message.takeovers);
				return;
			}

			case 'answer': {
				this.#requests.recordAnswer(from, message);
				this.#relays.recordAnswer(from, message);
				return;
			}

			case 'ended': {
				this.#requests.recordEnd(from, message);
				this.#relays.recordEnd(from, message);
				break;
			}

			case undefined: {
				break;
			}
		}
	}

	#decode(from: MemberId, body: unknown): TakeoverMessage | undefined {
		try {
			return decodeTakeover(body);
		} catch (error) {
			this.parts.journal.record('poolMessageUnreadable', {member: from, detail: (error as Error).message});
			return undefined;
		}
	}
}
