/** Tests of the activation order of contributions and of dependency errors. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Contribution} from '../../../src/runtime/kernel/contribution.js';
import {contributions} from '../../../src/runtime/kernel/contributions.js';
import {Kernel} from '../../../src/runtime/kernel/kernel.js';
import {ServiceContainer} from '../../../src/runtime/kernel/service-container.js';
import {ServiceKey} from '../../../src/runtime/kernel/service-key.js';

class RecordedContribution extends Contribution {
	constructor(override readonly name: string, override readonly requires: readonly string[], private readonly order: string[]) {
		super();
	}

	override activate(_services: ServiceContainer, store: {add(owned: {dispose(): void}): unknown}): void {
		this.order.push(`+${this.name}`);
		store.add({
			dispose: () => {
				this.order.push(`-${this.name}`);
			},
		});
	}
}

test('contributions are activated after their dependencies and disposed of before them', () => {
	const order: string[] = [];
	contributions.register(new RecordedContribution('consumer', ['provider'], order));
	contributions.register(new RecordedContribution('provider', [], order));
	const kernel = new Kernel(new ServiceContainer());
	kernel.activate();
	kernel.dispose();
	assert.deepEqual(order, ['+provider', '+consumer', '-consumer', '-provider']);
});

test('errors name a missing dependency and the path of a circular one', () => {
	assert.throws(() => contributions.get('missing'), /contribution missing is required but not registered/v);
	contributions.register(new RecordedContribution('first', ['second'], []));
	contributions.register(new RecordedContribution('second', ['first'], []));
	assert.throws(() => {
		new Kernel(new ServiceContainer()).activate();
	}, /first → second → first/v);
});

test('the error for a missing service names it', () => {
	assert.throws(() => new ServiceContainer().get(new ServiceKey('clock')), /service clock/v);
});
