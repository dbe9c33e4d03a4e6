/** Registers the membership feature. */
import type {DisposableStore} from '../../base/disposable-store.js';
import {Contribution} from '../../platform/kernel/contribution.js';
import {contributions} from '../../platform/kernel/contributions.js';
import type {ServiceContainer} from '../../platform/kernel/service-container.js';
import {platformKeys} from '../../platform/platform-keys.js';
import {ListedMembership} from './listed-membership.js';
import {membershipKey} from './membership-key.js';

contributions.register(new class extends Contribution {
	override readonly name = 'membership';
	override readonly requires = [];

	override activate(services: ServiceContainer, store: DisposableStore): void {
		services.provide(membershipKey, store.add(new ListedMembership(
			services.get(platformKeys.peerNetwork),
			services.get(platformKeys.instanceList),
			services.get(platformKeys.clock),
			services.get(platformKeys.journal),
		)));
	}
}());
