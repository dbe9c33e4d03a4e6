/** Which announcements of demand are left out. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Resources} from '../../../src/base/resources.js';
import type {ServiceName} from '../../../src/base/service-name.js';
import {AnnouncedDemand} from '../../../src/features/pool/announced-demand.js';
import type {PoolMember} from '../../../src/features/pool/pool-member.js';

const service = 'service' as ServiceName;
const peer = {} as unknown as PoolMember;

function demandOf(cpuMillis: number, name: ServiceName = service) {
	return [{service: name, need: new Resources(cpuMillis, 64, 0)}];
}

// Guards against waiting tasks that no peer offers capacity for, because it was never told of them or may have made its offers.
test('a peer without an announcement, or one that has answered it, does not know of the demand', () => {
	const announced = new AnnouncedDemand();
	assert.equal(announced.isKnownTo(peer, demandOf(8000)), false);
	announced.recordSent(peer, demandOf(8000));
	assert.equal(announced.isKnownTo(peer, demandOf(8000)), true);
	announced.recordReceived(peer);
	assert.equal(announced.isKnownTo(peer, demandOf(8000)), false);
});

// Guards against smaller tasks, and those of another service, that a peer doesn't look for.
test('demand is known if each service was announced with as small a need', () => {
	const announced = new AnnouncedDemand();
	announced.recordSent(peer, demandOf(8000));
	assert.deepEqual({
		larger: announced.isKnownTo(peer, demandOf(9000)),
		smaller: announced.isKnownTo(peer, demandOf(7000)),
		other: announced.isKnownTo(peer, demandOf(8000, 'other' as ServiceName)),
	}, {larger: true, smaller: false, other: false});
});

// Guards against a peer that was told meanwhile that no task waits.
test('a later state without demand ends the announcement', () => {
	const announced = new AnnouncedDemand();
	announced.recordSent(peer, demandOf(8000));
	announced.recordSent(peer, []);
	assert.equal(announced.isKnownTo(peer, demandOf(8000)), false);
});
