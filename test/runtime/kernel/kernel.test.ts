/** Features register themselves and are activated in the order of their needs. */
import assert from 'node:assert/strict';
import {test} from 'node:test';
import {Contribution} from '../../../src/runtime/kernel/contribution.js';
import {contributions} from '../../../src/runtime/kernel/contributions.js';
import {Kernel} from '../../../src/runtime/kernel/kernel.js';
import {ServiceContainer} from '../../../src/runtime/kernel/service-container.js';
import {ServiceKey} from '../../../src/runtime/kernel/service-key.js';

class Recorded extends Contribution {
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

test('a contribution comes after those it requires, and goes before them', () => {
	const order: string[] = [];
	contributions.register(new Recorded('roof', ['walls'], order));
	contributions.register(new Recorded('walls', [], order));
	const kernel = new Kernel(new ServiceContainer());
	kernel.activate();
	kernel.dispose();
	assert.deepEqual(order, ['+walls', '+roof', '-roof', '-walls']);
});

test('a requirement that nobody registered, and a circle of them, are named', () => {
	assert.throws(() => contributions.get('cellar'), /contribution cellar is required but not registered/v);
	contributions.register(new Recorded('hen', ['egg'], []));
	contributions.register(new Recorded('egg', ['hen'], []));
	assert.throws(() => {
		new Kernel(new ServiceContainer()).activate();
	}, /hen → egg → hen/v);
});

test('a service that nobody provides is named', () => {
	assert.throws(() => new ServiceContainer().get(new ServiceKey('clock')), /service clock/v);
});
