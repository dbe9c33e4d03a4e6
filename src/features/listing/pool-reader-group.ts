/** A reader group that consists of the pool members of a zone. */
import type {AvailabilityZone} from '../../base/availability-zone.js';
import type {Clock} from '../../base/clock.js';
import type {Disposable} from '../../base/disposable.js';
import {DisposableStore} from '../../base/disposable-store.js';
import {Emitter} from '../../base/emitter.js';
import type {MemberId} from '../../base/member-id.js';
import {rankByKey} from '../../base/rank-by-key.js';
import type {PeerEndpoint} from '../pool/peer-endpoint.js';
import type {Pool} from '../pool/pool.js';
import {fullMeshLimit} from '../pool/full-mesh-limit.js';
import type {ListUpdate} from './list-update.js';
import type {ListRequest} from './list-request.js';
import {ReaderGroup} from './reader-group.js';
import type {ReaderRole} from './reader-role.js';

/** Readers per zone: one may be lost, and one may be disconnected. */
const readersPerZone = 3;
/** How long an entry waits for the directory after its start before it reads for itself. */
const directoryTimeoutMilliseconds = 300;
/** For this time after the start the directory is used instead of the pool members, few of which have been discovered yet. */
const startupMilliseconds = 500;
/** Up to this size of the directory, an entry reads for itself after its start; the directory may list entries that are gone. */
const smallDirectorySize = 3 * fullMeshLimit;

/** Dependencies of a pool reader group. */
type PoolReaderGroupParts = {
	readonly pool: Pool;
	readonly self: {readonly address: string; readonly zone: AvailabilityZone};
	readonly clock: Clock;
};

/** Selects the readers of a zone by rendezvous hashing on the zone, and the order of preference by hashing on the own address. */
export class PoolReaderGroup extends ReaderGroup implements Disposable {
	readonly #receiveRequest = new Emitter<{readonly from: MemberId; readonly request: ListRequest}>();
	readonly #receiveUpdate = new Emitter<{readonly from: MemberId; readonly update: ListUpdate}>();
	readonly #store = new DisposableStore();
	/** The zones of the entries in the directory by address, including this entry. */
	readonly #directory = new Map<string, AvailabilityZone | undefined>();
	readonly #startedAt: number;

	constructor(private readonly parts: PoolReaderGroupParts) {
		super();
		this.#startedAt = parts.clock.now();
		this.#store.add(parts.pool.onDidReceive(({from, message}) => {
			if (message.kind === 'askList') {
				this.#receiveRequest.fire({from: from.id, request: message.request});
			} else if (message.kind === 'list') {
				this.#receiveUpdate.fire({from: from.id, update: message.update});
			}
		}));
	}

	override get onDidReceiveRequest() {
		return this.#receiveRequest.event;
	}

	override get onDidReceiveUpdate() {
		return this.#receiveUpdate.event;
	}

	override get role(): ReaderRole {
		if (this.#directory.size === 0 && this.#age < directoryTimeoutMilliseconds) {
			return 'undetermined';
		}

		if (this.#isSmallFleet) {
			return 'alone';
		}

		if (this.#readerAddresses.includes(this.parts.self.address)) {
			return 'reader';
		}

		return this.#isStartingUp && this.readers.length === 0 ? 'undetermined' : 'follower';
	}

	override get readers(): readonly MemberId[] {
		const {pool, self} = this.parts;
		const ids = new Map([...pool.members].filter(({isLeaving}) => !isLeaving).map(({member}) => [member.peerAddress, member.id]));
		return rankByKey(self.address, this.#readerAddresses, address => address).map(address => ids.get(address)).filter(id => id !== undefined);
	}

	/** Adds entries that are listed in the directory. */
	addPeers(endpoints: Iterable<PeerEndpoint>): void {
		for (const {address, zone} of endpoints) {
			this.#directory.set(address, zone);
		}
	}

	override sendRequest(reader: MemberId, request: ListRequest): void {
		this.parts.pool.send(reader, {kind: 'askList', request});
	}

	override sendUpdate(requester: MemberId, update: ListUpdate): void {
		this.parts.pool.send(requester, {kind: 'list', update});
	}

	dispose(): void {
		this.#store.dispose();
		this.#receiveRequest.dispose();
		this.#receiveUpdate.dispose();
	}

	get #age(): number {
		return this.parts.clock.now() - this.#startedAt;
	}

	get #isStartingUp(): boolean {
		return this.#age < startupMilliseconds;
	}

	get #isSmallFleet(): boolean {
		return this.#isStartingUp ? this.#directory.size <= smallDirectorySize : [...this.parts.pool.members].length <= fullMeshLimit;
	}

	/** The addresses of the zone's readers, including this entry if it is one. */
	get #readerAddresses(): readonly string[] {
		const {pool, self} = this.parts;
		const zoneAddresses = this.#isStartingUp
			? [...this.#directory].filter(([, zone]) => zone === self.zone).map(([address]) => address)
			: [...pool.members].filter(({member, isLeaving}) => member.zone === self.zone && !isLeaving).map(({member}) => member.peerAddress);
		const all = new Set([self.address, ...zoneAddresses]);
		return rankByKey(self.zone, [...all], address => address).slice(0, readersPerZone);
	}
}
