/** A stand-in for the platform's instance list. */
import {Hono} from 'hono';
import {z} from 'zod';

const rowSchema = z.looseObject({id: z.string()});
const faultSchema = z.strictObject({isDown: z.boolean().optional(), lagMilliseconds: z.int().min(0).optional()});

type Change = {readonly at: number; readonly id: string; readonly row: unknown};

/** Changed by PUT and DELETE; readers see a change after the configured lag. */
export class InstanceService {
	readonly #changes: Change[] = [];
	#isDown = false;
	#lagMilliseconds = 0;

	routes(): Hono {
		const routes = new Hono();
		routes.get('/instances', context => this.#isDown ? context.json({error: 'down'}, 503) : context.json({instances: this.#visible() as never}));
		routes.put('/instances/:id', async context => {
			const row = rowSchema.parse(await context.req.json());
			this.set(context.req.param('id'), row);
			return context.json({status: 'done'});
		});
		routes.delete('/instances/:id', context => {
			this.set(context.req.param('id'), undefined);
			return context.json({status: 'done'});
		});
		routes.post('/faults', async context => {
			const fault = faultSchema.parse(await context.req.json());
			this.#isDown = fault.isDown ?? this.#isDown;
			this.#lagMilliseconds = fault.lagMilliseconds ?? this.#lagMilliseconds;
			return context.json({status: 'done'});
		});
		return routes;
	}

	/** Sets or removes a row. */
	set(id: string, row: unknown): void {
		this.#changes.push({at: Date.now(), id, row});
	}

	#visible(): readonly unknown[] {
		const rows = new Map<string, unknown>();
		for (const {at, id, row} of this.#changes) {
			if (at <= Date.now() - this.#lagMilliseconds) {
				rows.set(id, row);
			}
		}

		return [...rows.values()].filter(row => row !== undefined);
	}
}
